import { existsSync, mkdtempSync, rmSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { Fleet } from './Fleet.js'
import { call } from './http.js'
import { Journal } from './Journal.js'
import { NodeProcess } from './NodeProcess.js'
import { Store } from './Store.js'

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '../..')
const STORE_PORT = 8169
const WORKER_PORT = 8080
const TIME_LIMIT_MS = 115_000

/** A small deployment on loopback addresses: nodes, workers, the store, and a client. */
export class Cell {
  constructor ({ folder, service = 'hunt-desk' }) {
    this.journal = new Journal(join(folder, 'record.txt'))
    this.service = service
    this.store = new Store(this.journal)
    this.fleet = new Fleet(this.journal)
    this.nodes = []
    this.folder = mkdtempSync(join(tmpdir(), 'rattanstep-review-'))
    this.jobs = 0
    this.errors = []
  }

  /** Starts the store, the workers and the nodes, and waits until all nodes are ready. */
  async start ({ nodes, workers, routes }) {
    this.net = await findFreeNet(nodes)
    this.store.put('op', 'config', {
      version: 1,
      routes: routes.map(route => ({ kind: 'unsafe', hostname: 'desk.example', timeout_ms: 3000, service: this.service, ...route })),
      services: [{ name: this.service, health_path: '/health', max_connections: 64, protocol: 'h1', tls: false, enforces_capacity: false, spare: false }],
      limits: { max_header_bytes: 16_384, max_body_bytes: 262_144, header_timeout_ms: 3000, idle_timeout_ms: 15_000 }
    })
    for (const [index, worker] of workers.entries()) {
      await this.fleet.addWorker({ id: `i-${(0x5c00000000 + 0x1234567 * (index + 1)).toString(16)}`, address: `${this.net}.${100 + index}:${WORKER_PORT}`, service: this.service, zone: 'zone-a', store: this.store, ...worker })
    }
    for (let index = 0; index < nodes; index++) {
      const name = `frontend-zone-a-${index + 1}`
      await this.store.listen(name, { host: `${this.net}.2`, port: STORE_PORT + index })
      const node = new NodeProcess({ root: ROOT, folder: this.folder, journal: this.journal, name, zone: 'zone-a', ip: `${this.net}.${11 + index}`, store: `${this.net}.2:${STORE_PORT + index}`, advice: `${this.net}.3:8169` })
      this.nodes.push(node)
      node.start()
    }
    await this.until(async () => (await Promise.all(this.nodes.map(async node => await node.isReady()))).every(Boolean), 20_000, 'all nodes are ready')
  }

  /** @returns the node that decides, as the store's row of the term says */
  decider () {
    const { node } = JSON.parse(this.store.read('term', 'd', 'term'))
    return this.nodes.find(each => each.name === node)
  }

  newId () {
    return (0xa0000000 + ++this.jobs).toString(16) + Math.floor(Math.random() * 2 ** 32).toString(16).padStart(8, '0')
  }

  /**
   * Submits a job.
   *
   * @param node - node that the client is connected to
   * @param job - `prefix`, `steps` as the fleet's plans with `fields` for the wire, `repeat` fields
   * @param id - id of the job; the one of an earlier job sends its request once more
   */
  async submit (node, { prefix, steps, repeat = {}, deadline = 3000 }, id = this.newId()) {
    this.fleet.addJob({ id, steps })
    const body = { spec: `job ${id}`, steps: steps.map(({ count, cpu, memory = 64, duration, saves, gang, fields = {} }) => ({ count, cpu, mem_mb: memory, estimate_ms: duration(0, 1) === Infinity ? 60_000 : duration(0, 1), ...(saves ? { checkpointing: true } : {}), ...(gang ? { gang: true } : {}), ...fields })), ...repeat }
    this.journal.write('sent', `POST ${prefix}${id} to ${node.name}: ${JSON.stringify(body)}`)
    const reply = await call(node.frontend, { method: 'POST', path: prefix + id, headers: { host: 'desk.example', 'deadline-ms': String(deadline), 'request-id': id }, body, timeout: deadline })
    this.journal.write('answered', `POST ${prefix}${id}: ${reply.status === 0 ? 'no answer' : reply.status}`)
    return { id, prefix, status: reply.status, acceptedAt: performance.now() }
  }

  /** @returns the state of a job, the status if it isn't 200, or 0 without an answer */
  async state (node, { id, prefix }) {
    const reply = await call(node.frontend, { method: 'GET', path: prefix + id, headers: { host: 'desk.example', 'deadline-ms': '3000' }, timeout: 3000 })
    const state = reply.status === 200 ? JSON.parse(reply.body).state : reply.status
    this.journal.write('state', `GET ${prefix}${id} at ${node.name}: ${state}`)
    return state
  }

  async until (condition, timeout, what) {
    const deadline = performance.now() + timeout
    while (!await condition()) {
      if (performance.now() > deadline) throw new Error(`not within ${timeout} ms: ${what}`)
      await sleep(50)
    }
  }

  async close () {
    await Promise.all(this.nodes.map(async node => { await node.close() }))
    for (const worker of this.fleet.workers) worker.crash()
    this.store.close()
    if (process.env.KEEP === undefined) rmSync(this.folder, { recursive: true, force: true })
    else this.journal.write('kept', `logs in ${this.folder}`)
    this.journal.close()
  }
}

/**
 * Runs a case and ends the process: 0 if no rule was broken, 1 if one was, 2 if the case couldn't run.
 *
 * @param folder - folder of the case
 * @param play - plays the case; `isTroubled` is false with TROUBLE=0
 */
export async function runCase (folder, play) {
  if (!existsSync(join(ROOT, 'target/rattanstep.cjs'))) {
    console.error('target/rattanstep.cjs is missing: run the build of the deploy file first')
    process.exit(2)
  }
  const isTroubled = process.env.TROUBLE !== '0'
  const cell = new Cell({ folder })
  let code = 2
  const limit = setTimeout(() => { cell.close().finally(() => process.exit(2)) }, TIME_LIMIT_MS)
  for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => { cell.close().finally(() => process.exit(2)) })
  try {
    await play(cell, isTroubled)
    const { broken } = cell.fleet
    cell.journal.write('result', broken.length === 0 ? 'the rule held' : `the rule was broken ${broken.length} times`)
    console.log(broken.length === 0 ? 'held' : `broken ${broken.length} times; the first: ${broken[0]}`)
    code = broken.length === 0 ? 0 : 1
  } catch (error) {
    cell.journal.write('result', `the case could not run: ${error.message}`)
    console.error(error)
  }
  clearTimeout(limit)
  await cell.close()
  process.exit(code)
}

/** Finds a range of loopback addresses on which the ports of the nodes, of the workers and of the store are free. */
async function findFreeNet (nodes) {
  for (let attempt = 0; attempt < 20; attempt++) {
    const net = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`
    const addresses = [...Array.from({ length: nodes }, (_, index) => NodeProcess.ports.map(port => [`${net}.${11 + index}`, port])).flat(), [`${net}.2`, STORE_PORT], [`${net}.100`, WORKER_PORT]]
    if ((await Promise.all(addresses.map(async ([host, port]) => await isFree(host, port)))).every(Boolean)) return net
  }
  throw new Error('no free loopback addresses')
}

async function isFree (host, port) {
  return await new Promise(resolve => {
    const server = createServer()
    server.once('error', () => { resolve(false) })
    server.listen(port, host, () => { server.close(() => { resolve(true) }) })
  })
}
