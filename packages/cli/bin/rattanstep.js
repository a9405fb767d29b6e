#!/usr/bin/env node
// Stands in the repository, so that npm links the command before the first build.
import '../dist/src/node/main.js'
