import { runRandomFaults } from './runRandomFaults.js'

// Runs apart from node:test, whose hooks on every promise make simulated runs several times slower.
console.log(JSON.stringify({ failures: await runRandomFaults(Number(process.argv[2])) }))
