import { createServer } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'

/** Limits and times of the platform's store, as in the settings that DEPLOY shows. */
const DEFAULTS = { txMs: 8, answerMs: 4, rowBytes: 65_536, callBytes: 1_048_576, entries: 100, partWait: 1000, readRows: 500, writesPerS: 800, readsPerS: 2000 }

/** Stand-in for the platform's metadata store, with the limits that PROTOCOL and DEPLOY name. */
export class Store {
  rows = new Map()
  history = []
  version = 1
  historyStart = 0
  /** Probability with which a transaction is carried out and its answer is lost. */
  loss = 0
  /** Called with each transaction that the store refuses because it is larger than the limits. */
  onTooLarge = () => {}
  lost = 0
  /** Keys of the rows of each table and part, in order. */
  #keys = new Map()
  #partFreeAt = new Map()
  #calls = { writes: [], reads: [] }
  #server
  #waiters = new Set()

  constructor (options = {}) {
    this.options = { ...DEFAULTS, ...options }
  }

  async start () {
    this.#server = createServer((request, response) => { this.#serve(request, response).catch(() => response.destroy()) })
    this.#server.keepAliveTimeout = 60_000
    await new Promise(resolve => this.#server.listen(0, '127.0.0.1', resolve))
    this.address = `127.0.0.1:${this.#server.address().port}`
  }

  stop () {
    this.#server.closeAllConnections()
    this.#server.close()
  }

  /** Writes a row on behalf of the operator or a worker. */
  put (table, part, key, value) {
    this.#write({ table, part, key, value: Buffer.from(JSON.stringify(value)).toString('base64') }, ++this.version)
    this.#wake()
  }

  /** Deletes a row on behalf of a worker whose entry has expired. */
  remove (table, part, key) {
    if (!this.rows.has(name({ table, part, key }))) return
    this.#delete({ table, part, key }, ++this.version)
    this.#wake()
  }

  /** @returns the decoded value of a row */
  read (table, part, key) {
    const row = this.rows.get(name({ table, part, key }))
    return row === undefined ? undefined : JSON.parse(Buffer.from(row.value, 'base64').toString('utf8'))
  }

  async #serve (request, response) {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const body = Buffer.concat(chunks)
    const url = new URL(request.url, 'http://store')
    const reply = await this.#answer(url.pathname, url.searchParams, body)
    if (reply === undefined) return
    response.writeHead(reply.status, { 'content-type': 'application/json' })
    response.end(reply.body === undefined ? '' : JSON.stringify(reply.body))
  }

  async #answer (path, query, body) {
    const kind = path === '/rows-tx' ? 'writes' : 'reads'
    if (!this.#isWithinRate(kind)) return { status: 429 }
    if (path === '/rows-tx') return await this.#transact(body)
    await sleep(this.options.answerMs)
    if (path === '/rows-get') return this.#range(query)
    if (path === '/rows-feed') return await this.#feed(query)
    return { status: 404 }
  }

  #isWithinRate (kind) {
    const calls = this.#calls[kind]
    const now = performance.now()
    while (calls.length > 0 && calls[0] < now - 1000) calls.shift()
    if (calls.length >= (kind === 'writes' ? this.options.writesPerS : this.options.readsPerS)) return false
    calls.push(now)
    return true
  }

  async #transact (text) {
    const { entries, callBytes, rowBytes, txMs, partWait } = this.options
    const { expected_rev: expected = [], puts = [], deletes = [] } = JSON.parse(text.toString('utf8'))
    const all = [...expected, ...puts, ...deletes]
    const parts = new Set(all.map(({ part }) => part))
    if (parts.size !== 1) return { status: 400 }
    if ([...puts, ...deletes].some(({ table }) => table === 'op' || table === 'servers')) return { status: 403 }
    const largest = Math.max(0, ...puts.map(({ value }) => Buffer.byteLength(value, 'base64')))
    if (all.length > entries || text.length > callBytes || largest > rowBytes) {
      this.onTooLarge({ entries: all.length, bytes: text.length, largestRow: largest })
      return { status: 400 }
    }
    const [part] = parts
    const now = performance.now()
    const startAt = Math.max(now, this.#partFreeAt.get(part) ?? 0)
    if (startAt - now > partWait) return { status: 429 }
    this.#partFreeAt.set(part, startAt + txMs)
    await sleep(startAt + txMs - now)
    const reply = this.#apply(expected, puts, deletes)
    if (Math.random() >= this.loss) return reply
    this.lost++
    return undefined
  }

  #apply (expected, puts, deletes) {
    const current = row => this.rows.get(name(row))
    if (expected.some(row => (current(row)?.schema_version ?? 0) !== row.schema_version)) return { status: 412, body: { rows: expected.flatMap(row => current(row) ?? []), ...this.#position() } }
    const version = ++this.version
    for (const row of puts) this.#write(row, version)
    for (const row of deletes) if (current(row) !== undefined) this.#delete(row, version)
    this.#wake()
    return { status: 200, body: this.#position() }
  }

  #range (query) {
    const from = query.get('from') ?? ''
    const target = query.get('target')
    const keys = this.#keysOf({ table: query.get('table'), part: query.get('part') })
    const last = target === null ? keys.length : placeOf(keys, target)
    const rows = []
    for (let index = placeOf(keys, from); index < last && rows.length <= this.options.readRows; index++) rows.push(this.rows.get(name({ table: query.get('table'), part: query.get('part'), key: keys[index] })))
    const limit = Math.min(this.options.readRows, Number(query.get('limit') ?? this.options.readRows))
    const page = []
    let bytes = 0
    for (const row of rows) {
      bytes += row.value.length
      if (page.length >= limit || (page.length > 0 && bytes > this.options.callBytes)) break
      page.push(row)
    }
    return { status: 200, body: { rows: page, has_more: page.length < rows.length, ...this.#position() } }
  }

  async #feed (query) {
    const table = query.get('table')
    const after = Number(query.get('after'))
    const until = performance.now() + Math.min(30_000, Number(query.get('wait_ms') ?? 0))
    for (;;) {
      if (after < this.historyStart) return { status: 410 }
      let start = this.history.length
      while (start > 0 && this.history[start - 1].schema_version > after) start--
      const rows = this.history.slice(start).filter(row => row.table === table)
      const left = until - performance.now()
      if (rows.length > 0 || left <= 0) return { status: 200, body: { rows, ...this.#position() } }
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer)
          this.#waiters.delete(wake)
          resolve()
        }
        const timer = setTimeout(wake, left)
        this.#waiters.add(wake)
      })
    }
  }

  #wake () {
    // The history covers 20 s and more.
    if (this.history.length > 60_000) this.historyStart = this.history.splice(0, 20_000).at(-1).schema_version
    for (const wake of [...this.#waiters]) wake()
  }

  #write (row, version) {
    const stored = { table: row.table, part: row.part, key: row.key, value: row.value, schema_version: version }
    if (!this.rows.has(name(row))) {
      const keys = this.#keysOf(row)
      keys.splice(placeOf(keys, row.key), 0, row.key)
    }
    this.rows.set(name(row), stored)
    this.history.push(stored)
  }

  #delete ({ table, part, key }, version) {
    if (this.rows.delete(name({ table, part, key }))) {
      const keys = this.#keysOf({ table, part })
      keys.splice(placeOf(keys, key), 1)
    }
    this.history.push({ table, part, key, schema_version: version, deleted: true })
  }

  #keysOf ({ table, part }) {
    let keys = this.#keys.get(`${table}\n${part}`)
    if (keys === undefined) this.#keys.set(`${table}\n${part}`, keys = [])
    return keys
  }

  #position () {
    return { schema_version: this.version, now_ms: Math.round(performance.now()) + 1 }
  }
}

function name ({ table, part, key }) {
  return `${table}\n${part}\n${key}`
}

/** @returns the place of a key, or of the first one behind it, among keys in order */
function placeOf (keys, key) {
  let from = 0
  let to = keys.length
  while (from < to) {
    const middle = (from + to) >> 1
    if (keys[middle] < key) from = middle + 1
    else to = middle
  }
  return from
}
