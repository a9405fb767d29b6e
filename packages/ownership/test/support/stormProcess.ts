import { runStorms } from './runStorms.js'

// Runs apart from node:test, whose hooks on every promise make simulated runs several times slower.
console.log(JSON.stringify({ failures: await runStorms(Number(process.argv[2])) }))
