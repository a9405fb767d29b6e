#!/usr/bin/env node
// Kept in the repository, because npm links the command on install, before the first build creates dist/.
import '../dist/src/node/main.js'
