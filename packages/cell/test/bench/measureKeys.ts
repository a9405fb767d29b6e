import { performance } from 'node:perf_hooks'
import { KeyIndex } from '../../src/index.js'
import type { Configuration, Credential, Organisation, Route } from '../../src/index.js'

const ORGANISATIONS = [20, 1000]
const MEMORY_ORGANISATIONS = 5000
const KEYS_EACH = 4
const LOOKUPS = 2_000_000
const ROUTE: Route = { name: 'r', host: 'h', prefix: '/', service: 's', priority: 1, maxAttempts: 3, stretch: 2, latencyObjective: 1000 }

function createOrganisation (index: number): Organisation {
  return { name: `organisation-${index}`, keys: Array.from({ length: KEYS_EACH }, (_, key) => `key-${index}-${key}-${'x'.repeat(24)}`), weight: 1, cap: { cpu: 1, memory: 1, accelerators: 0 } }
}

/** @returns ns for a lookup; strings are made anew for each, as for a request, and their cost is part of the result */
function measure (organisations: number, prefix: string): number {
  const configuration: Configuration = { version: 1, routes: [ROUTE], maxBody: 1, organisations: Array.from({ length: organisations }, (_, index) => createOrganisation(index)) }
  const index = new KeyIndex()
  const keys = configuration.organisations!.flatMap(organisation => organisation.keys)
  index.authorize(configuration, ROUTE, { kind: 'none' })
  let granted = 0
  const startedAt = performance.now()
  for (let lookup = 0; lookup < LOOKUPS; lookup++) {
    const credential: Credential = { kind: 'key', key: prefix + keys[lookup % keys.length]!.slice(prefix.length) }
    if (index.authorize(configuration, ROUTE, credential).kind === 'granted') granted++
  }
  const duration = performance.now() - startedAt
  if (granted !== (prefix === 'key-' ? LOOKUPS : 0)) throw new Error(`${granted} keys were found`)
  return duration * 1e6 / LOOKUPS
}

/** @returns bytes of the heap that the index, the configuration and its text take for each organisation, or NaN without --expose-gc */
function measureMemory (organisations: number): number {
  globalThis.gc?.()
  const before = process.memoryUsage().heapUsed
  const text = JSON.stringify({ version: 1, routes: [ROUTE], maxBody: 1, organisations: Array.from({ length: organisations }, (_, index) => createOrganisation(index)) })
  const configuration = JSON.parse(text) as Configuration
  const index = new KeyIndex()
  index.authorize(configuration, ROUTE, { kind: 'none' })
  globalThis.gc?.()
  const after = process.memoryUsage().heapUsed
  const isKept = text.length > 0 && index.authorize(configuration, ROUTE, { kind: 'none' }).kind === 'denied'
  return globalThis.gc !== undefined && isKept ? (after - before) / organisations : NaN
}

console.log(`${measureMemory(MEMORY_ORGANISATIONS).toFixed(0)} bytes for each of ${MEMORY_ORGANISATIONS} organisations with ${KEYS_EACH} keys`)
for (const organisations of ORGANISATIONS) {
  measure(organisations, 'key-')
  console.log(`${organisations} organisations with ${KEYS_EACH} keys: known key ${measure(organisations, 'key-').toFixed(0)} ns, unknown key ${measure(organisations, 'yek-').toFixed(0)} ns`)
}
