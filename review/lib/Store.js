import { setTimeout as sleep } from 'node:timers/promises'
import { serveJson } from './http.js'

/** Figures of the small sites. */
const TRANSACTION_MS = 8
const READ_MS = 4
const ROW_BYTES = 65_536
const TRANSACTION_BYTES = 1_000_000
const TRANSACTION_ENTRIES = 100
const POLL_MS = 5

/**
 * Stand-in for the platform's store. Each node reaches it at an address of its own, a gate, so that the store can turn one node away and serve
 * the others. A gate is `open`, or `reset`: transactions are carried out and the channel is reset instead of answered, and so is the channel of
 * every other call.
 */
export class Store {
  constructor (journal) {
    this.journal = journal
    this.rows = new Map()
    this.history = []
    this.version = 1
    this.servers = []
    this.gates = new Map()
    this.startedAt = performance.now()
    this.refusedTransactions = 0
  }

  /** Opens a gate for a node. */
  async listen (name, address) {
    this.gates.set(name, 'open')
    this.servers.push(await serveJson(address, async call => await this.answer(name, call)))
  }

  close () {
    for (const server of this.servers) {
      server.closeAllConnections()
      server.close()
    }
  }

  /** Writes a row of the operator or of a worker. */
  put (table, key, value) {
    this.write({ table, part: '', key, value: Buffer.from(JSON.stringify(value)).toString('base64') }, ++this.version)
  }

  /** @returns the decoded value of a row, or `undefined` */
  read (table, part, key) {
    const row = this.rows.get(`${table}/${part}/${key}`)
    return row === undefined ? undefined : Buffer.from(row.value, 'base64').toString('utf8')
  }

  write ({ table, part, key, value }, version) {
    const row = { table, part, key, value, schema_version: version }
    this.rows.set(`${table}/${part}/${key}`, row)
    this.history.push(row)
  }

  position () {
    return { schema_version: this.version, now_ms: Math.round(performance.now() - this.startedAt) + 1 }
  }

  async answer (gate, { path, query, body, socket }) {
    if (this.gates.get(gate) === 'reset') {
      if (path === '/rows-tx') {
        await sleep(TRANSACTION_MS)
        this.transact(body)
      }
      if (!socket.destroyed) socket.resetAndDestroy()
      return undefined
    }
    if (path === '/rows-tx') {
      await sleep(TRANSACTION_MS)
      return this.transact(body)
    }
    await sleep(READ_MS)
    if (path === '/rows-get') return this.range(query)
    return await this.feed(query)
  }

  range (query) {
    const from = query.get('from') ?? ''
    const target = query.get('target')
    const rows = [...this.rows.values()].filter(row => row.table === query.get('table') && row.part === (query.get('part') ?? '') && row.key >= from && (target === null || row.key < target))
    rows.sort((a, b) => a.key < b.key ? -1 : 1)
    const limit = Math.min(500, Number(query.get('limit') ?? 500))
    return { status: 200, body: { rows: rows.slice(0, limit), has_more: rows.length > limit, ...this.position() } }
  }

  async feed (query) {
    const after = Number(query.get('after'))
    const until = performance.now() + Number(query.get('wait_ms') ?? 0)
    const table = query.get('table')
    for (;;) {
      const start = this.history.findIndex(row => row.schema_version > after)
      const rows = start < 0 ? [] : this.history.slice(start).filter(row => row.table === table)
      if (rows.length > 0 || performance.now() >= until) return { status: 200, body: { rows, ...this.position() } }
      await sleep(POLL_MS)
    }
  }

  transact ({ expected_rev: expected = [], puts = [], deletes = [] }) {
    const entries = [...expected, ...puts, ...deletes]
    const sizes = puts.map(row => Buffer.from(row.value, 'base64').length)
    const isTooLarge = entries.length > TRANSACTION_ENTRIES || sizes.some(size => size > ROW_BYTES) || JSON.stringify({ expected, puts, deletes }).length > TRANSACTION_BYTES
    if (isTooLarge || new Set(entries.map(row => row.part)).size > 1) {
      if (this.refusedTransactions++ % 50 === 0) this.journal.write('store', `transaction refused with 400: ${entries.length} entries, largest value ${Math.max(0, ...sizes)} bytes (limit ${ROW_BYTES}), refusals so far ${this.refusedTransactions}`)
      return { status: 400, body: {} }
    }
    const current = row => this.rows.get(`${row.table}/${row.part}/${row.key}`)
    if (expected.some(row => (current(row)?.schema_version ?? 0) !== row.schema_version)) return { status: 412, body: { rows: expected.flatMap(row => current(row) ?? []), ...this.position() } }
    const version = ++this.version
    for (const row of puts) this.write(row, version)
    for (const { table, part, key } of deletes) {
      if (this.rows.delete(`${table}/${part}/${key}`)) this.history.push({ table, part, key, value: '', schema_version: version, deleted: true })
    }
    return { status: 200, body: this.position() }
  }
}
