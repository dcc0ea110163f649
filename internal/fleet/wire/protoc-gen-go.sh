#!/bin/sh
# Runs the plugin of the version in go.mod for protoc.
exec go tool protoc-gen-go "$@"
