// Runs every test file, those in `platform/test/isolated` after the rest, alone and one after another: they measure the memory of a process or load the
// machine. They are left out if another test has failed, so that the last summary is the one of the failure.
// A file that KNOWN-RED.txt lists in a line `file: PATH` runs by itself, first; its result is printed and does not fail the run. Everything else must
// pass.
import { spawnSync } from 'node:child_process'
import { existsSync, readFileSync, readdirSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

process.chdir(join(dirname(fileURLToPath(import.meta.url)), '..'))

const runTests = (files, ...flags) => spawnSync(process.execPath, ['--enable-source-maps', '--test', ...flags, ...files], { stdio: 'inherit' }).status

function listTests (folder) {
  if (!existsSync(folder)) return []
  return readdirSync(folder).filter(name => name.endsWith('.test.js')).map(name => join(folder, name))
}

function listFolders (folder) {
  if (!existsSync(folder)) return []
  return readdirSync(folder, { withFileTypes: true }).filter(entry => entry.isDirectory()).map(entry => join(folder, entry.name))
}

const all = [...listFolders('packages').flatMap(name => listFolders(join(name, 'dist/test')).flatMap(listTests)), ...listTests('platform/dist/test')]
const isolated = listTests('platform/dist/test/isolated')
const knownRed = readFileSync('KNOWN-RED.txt', 'utf8').split('\n').flatMap(line => /^file: (\S+)$/.exec(line)?.[1] ?? [])
const compiled = knownRed.map(name => name.replace('/test/', '/dist/test/').replace(/\.ts$/, '.js'))
const missing = compiled.filter(name => ![...all, ...isolated].includes(name))
if (missing.length > 0) {
  console.error(`KNOWN-RED.txt lists files that do not exist: ${missing.join(', ')}`)
  process.exit(1)
}

for (const [index, name] of compiled.entries()) {
  console.log(`known red, does not fail the run: ${knownRed[index]}`)
  console.log(`known red, result: ${knownRed[index]} ${runTests([name]) === 0 ? 'passed this time' : 'failed'}`)
}
const isGreen = name => !compiled.includes(name)
const status = runTests(all.filter(isGreen))
process.exit((status === 0 && isolated.some(isGreen) ? runTests(isolated.filter(isGreen), '--test-concurrency=1') : status) ?? 1)
