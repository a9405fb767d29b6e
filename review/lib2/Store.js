import { setTimeout as sleep } from 'node:timers/promises'
import { serveJson } from './http.js'

/** Limits of the pages for one transaction and one page of rows. */
const MAX_ENTRIES = 100
const MAX_BYTES = 1_000_000
const MAX_PAGE_ROWS = 500
const ROW_BYTES = 65_536
const READ_MS = 4
const TRANSACTION_MS = 8

/** Stand-in for the platform's store: tables, transactions and feeds as the pages describe them. */
export class Store {
  constructor () {
    this.rows = new Map()
    this.history = []
    this.version = 1
    this.startedAt = performance.now()
    /** Called with the entries of each transaction that was carried out. */
    this.onWritten = () => {}
  }

  async start (host) {
    this.server = await serveJson(call => this.answer(call), host)
    return this.server.address
  }

  async close () {
    await this.server?.close()
  }

  /** Writes a row for the operator or a worker. */
  put (table, key, value) {
    this.store({ table, part: '', key, value: Buffer.from(JSON.stringify(value)).toString('base64') }, ++this.version)
  }

  /** Removes a row for a worker. */
  remove (table, key) {
    this.drop({ table, part: '', key }, ++this.version)
  }

  /** @returns the decoded value of a row */
  read (table, part, key) {
    const row = this.rows.get(nameOf({ table, part, key }))
    return row === undefined ? undefined : JSON.parse(Buffer.from(row.value, 'base64').toString('utf8'))
  }

  store ({ table, part = '', key, value }, version) {
    const row = { table, part, key, value, schema_version: version }
    this.rows.set(nameOf(row), row)
    this.history.push(row)
  }

  drop ({ table, part = '', key }, version) {
    if (this.rows.delete(nameOf({ table, part, key }))) this.history.push({ table, part, key, schema_version: version, deleted: true })
  }

  position () {
    return { schema_version: this.version, now_ms: Math.round(performance.now() - this.startedAt) + 1000 }
  }

  async answer ({ method, path, query, body }) {
    const call = `${method} ${path}`
    if (call === 'POST /rows-tx') {
      await sleep(TRANSACTION_MS)
      return this.transact(body)
    }
    await sleep(READ_MS)
    if (call === 'GET /rows-get') return this.range(query)
    if (call === 'GET /rows-feed') return await this.feed(query)
    return { status: 404 }
  }

  transact ({ expected_rev: expected = [], puts = [], deletes = [] }) {
    const entries = [...expected, ...puts, ...deletes]
    if (entries.length > MAX_ENTRIES || JSON.stringify(entries).length > MAX_BYTES || new Set(entries.map(entry => entry.part ?? '')).size > 1) return { status: 400 }
    if (puts.some(row => Buffer.from(row.value, 'base64').length > ROW_BYTES)) return { status: 400 }
    if ([...puts, ...deletes].some(row => row.table === 'op' || row.table === 'servers')) return { status: 403 }
    const versionOf = row => this.rows.get(nameOf(row))?.schema_version ?? 0
    if (expected.some(row => versionOf(row) !== row.schema_version)) return { status: 412, body: { rows: expected.flatMap(row => this.rows.get(nameOf(row)) ?? []), ...this.position() } }
    const version = ++this.version
    for (const row of puts) this.store(row, version)
    for (const row of deletes) this.drop(row, version)
    this.onWritten(puts)
    return { status: 200, body: this.position() }
  }

  range (query) {
    const from = query.get('from') ?? ''
    const target = query.get('target')
    const found = [...this.rows.values()].filter(row => row.table === query.get('table') && row.part === (query.get('part') ?? '') && row.key >= from && (target === null || row.key < target))
    found.sort((a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key)))
    const limit = Math.min(MAX_PAGE_ROWS, Number(query.get('limit') ?? MAX_PAGE_ROWS))
    return { status: 200, body: { rows: found.slice(0, limit), has_more: found.length > limit, ...this.position() } }
  }

  async feed (query) {
    const after = Number(query.get('after'))
    const newer = () => this.history.filter(row => row.table === query.get('table') && row.schema_version > after)
    const deadline = performance.now() + Math.min(30_000, Number(query.get('wait_ms') ?? 0))
    while (newer().length === 0 && performance.now() < deadline) await sleep(5)
    return { status: 200, body: { rows: newer(), ...this.position() } }
  }
}

function nameOf ({ table, part = '', key }) {
  return `${table}/${part}/${key}`
}
