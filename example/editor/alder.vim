" Syntax of .alder files for Vim: copy to ~/.vim/syntax/ and add
"   autocmd BufRead,BufNewFile *.alder set filetype=alder
" to ~/.vimrc. The words are those of src/config_language/schema.cpp; docs/language.md has the grammar.
if exists("b:current_syntax")
  finish
endif
syn match alderComment "#.*$"
syn region alderString start=+"+ skip=+\\["\\nt]+ end=+"+ oneline
syn match alderConstant "\$[A-Za-z_][A-Za-z0-9_-]*"
syn match alderNumber "\<[0-9]\+\(\.[0-9]\+\)\?\s*\(us\|ms\|min\|s\|h\|[KMG]i\?B/s\|[KMG]i\?B\|B\|/min\|/s\|%\)\?"
syn match alderDeclaration "^\s*\(include\|let\|when\|class\|pool\|policy\|route\|split\)\>"
syn match alderField "^\s*[a-z][a-z-]*\ze\(\s\+\"[^\"]*\"\)\?\s*="
syn keyword alderWord safe keyed unsafe yes no cache parent origin point none strict settled GET HEAD POST PUT DELETE
hi def link alderComment Comment
hi def link alderString String
hi def link alderConstant Identifier
hi def link alderNumber Number
hi def link alderDeclaration Statement
hi def link alderField Type
hi def link alderWord Constant
let b:current_syntax = "alder"
