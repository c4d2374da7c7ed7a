# Sourced by scripts that build: has CMake compile through ccache where it is installed. Paths are taken relative to
# the checkout, so that one cache serves several of them.
if command -v ccache >/dev/null; then
  export CMAKE_CXX_COMPILER_LAUNCHER=ccache CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=true
fi
