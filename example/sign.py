#!/usr/bin/env python3
"""Signs with the newest key of a settings file.

  sign.py FILE PATH [SECONDS]            a link for just this path: PATH?...&sig=...
  sign.py FILE --token PREFIX [SECONDS]  a token for all below PREFIX, for a cookie or "Authorization: Bearer"
"""
import base64
import hashlib
import hmac
import sys
import time
import tomllib


def b64(data):
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


args = sys.argv[1:]
with open(args.pop(0), "rb") as f:
    key = tomllib.load(f)["signed"]["key"][-1]
token = args[0] == "--token"
if token:
    args.pop(0)
subject = args[0]
end = int(time.time()) + int(args[1] if len(args) > 1 else 60)
text = f"pfx={subject}&exp={end}&kid={key['id']}" if token else f"{subject}?exp={end}&kid={key['id']}"
text += "&sig=" + b64(hmac.new(key["secret"].encode(), text.encode(), hashlib.sha256).digest())
print(b64(text.encode()) if token else text)
