import { spawn } from 'node:child_process'
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { findFreePorts, send, serveJson } from './http.js'
import { Store } from './Store.js'
import { Worker } from './Worker.js'

const ROOT = fileURLToPath(new URL('../../', import.meta.url))
export const HOST_NAME = 'desk.example'
const SERVICE = 'desk'
/** Longest time until the nodes serve after their start. */
const START_LIMIT_MS = 15_000
/** Time after which a case is given up. */
const CASE_LIMIT_MS = 110_000
/** Exit code of a case whose rule was broken; Node's own code for an error is 1. `run.sh` turns it into 1, and all but 0 into 2. */
const BROKEN_EXIT_CODE = 3
/** Last part of the address of the first worker; nodes are below it. */
const FIRST_WORKER = 50
/** Delay after which the platform starts a process again that has ended by itself. */
const RESTART_MS = 500

/** The project's program as separate processes, with stand-ins for store, advice service, workers and consumers. */
export class Stage {
  /** @param folder - folder of the case, in which `record.txt` is written */
  constructor (folder) {
    this.startedAt = performance.now()
    this.recordFile = createWriteStream(join(folder, 'record.txt'))
    this.folder = mkdtempSync(join(tmpdir(), 'rattanstep-review-'))
    this.network = `127.${100 + process.pid % 100}.${Math.floor(process.pid / 100) % 250}`
    this.nodes = []
    this.workers = []
    this.store = new Store()
  }

  /** @returns ms since the start of the case */
  now () {
    return performance.now() - this.startedAt
  }

  record (entry) {
    this.recordFile.write(`${(this.now() / 1000).toFixed(3)} ${typeof entry === 'string' ? entry : JSON.stringify(entry)}\n`)
  }

  /**
   * Starts everything and waits until the nodes serve.
   *
   * @param options - `nodes`: number of nodes; `routes`: routes of the configuration; `workers`: options of the workers; `onEvent`: receives what workers do
   */
  async start ({ nodes, routes, workers, onEvent = () => {}, settings = {} }) {
    this.storeAddress = await this.store.start('127.0.0.1')
    this.advice = await serveJson(({ body }) => ({ status: 200, body: { good: (body.workers ?? []).map(id => [id, `ticket-${id}`]), valid_ms: 1500 } }), '127.0.0.1')
    this.settings = settings
    this.routes = routes
    this.store.put('op', 'config', {
      version: 1,
      routes: routes.map(route => ({ hostname: HOST_NAME, service: SERVICE, priority: 1, max_attempts: 3, stretch: 3, target_latency_ms: 1000, ...route })),
      services: [{ name: SERVICE, enforces_capacity: false }],
      limits: { max_body_bytes: 262_144 }
    })
    for (const options of workers) {
      const worker = new Worker({
        host: `${this.network}.${FIRST_WORKER + this.workers.length}`,
        zone: 'zone-a',
        service: SERVICE,
        store: this.store,
        capacity: { cpu: 16_000, mem_mb: 65_536, gpu: 0 },
        onEvent: entry => {
          this.record(entry)
          onEvent(entry, this.now())
        },
        ...options
      })
      this.workers.push(worker)
      await worker.start()
    }
    for (let index = 0; index < nodes; index++) await this.addNode(index)
    await this.waitUntilServing()
    this.record('the nodes serve')
  }

  async addNode (index) {
    const ip = `${this.network}.${index + 1}`
    const [callers, readiness, link, metrics] = await findFreePorts(ip, 4)
    const node = { name: `frontend-zone-a-${index + 1}`, ip, ports: { readiness, link, metrics }, callers: `${ip}:${callers}` }
    this.nodes.push(node)
    this.startNode(node)
  }

  /** Starts the process of a node with the command of the deploy file. */
  startNode (node) {
    const file = join(this.folder, `${node.name}.yaml`)
    const settings = renderSettings(readFileSync(join(ROOT, 'deploy/settings.yaml'), 'utf8'), this.fieldsOf(node))
    // The template names the port of the metrics, which may not be free here.
    writeFileSync(file, settings.replace(/metricsPort: \d+/, `metricsPort: ${node.ports.metrics}`))
    const [program, ...args] = /^run = "(.*)"$/m.exec(readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8'))[1].split(' ')
    const child = spawn(program, args, { cwd: ROOT, env: { PATH: process.env.PATH, HOME: process.env.HOME, RATTANSTEP_BOOT: file }, stdio: ['ignore', 'pipe', 'pipe'] })
    node.child = child
    node.isKilled = false
    const log = createWriteStream(join(this.folder, `${node.name}.log`), { flags: 'a' })
    child.stdout.pipe(log, { end: false })
    child.stderr.pipe(log, { end: false })
    child.once('exit', (code, signal) => {
      this.record({ event: 'process-ended', node: node.name, code, signal })
      if (node.child !== child) return
      node.child = undefined
      if (this.isClosed || node.isKilled) return
      // The platform starts a process again that ends by itself.
      node.ends = (node.ends ?? 0) + 1
      setTimeout(() => { if (!this.isClosed) this.startNode(node) }, RESTART_MS)
    })
    this.record({ event: 'process-started', node: node.name })
  }

  fieldsOf ({ name, ip, ports, callers }) {
    return {
      node: name,
      zone: 'zone-a',
      ip,
      limits: { cpu_cores: 1, cpu_share: 0.675, link_mbps: 1000 },
      listen_addrs: { frontend: callers, readiness: `${ip}:${ports.readiness}` },
      internal_ports: [ports.link, ports.link],
      platform: { address: this.storeAddress },
      advice: this.advice.address,
      bounds: { grace_s: 6, hold_max_ms: 10_000, status_s: 120 },
      ...this.settings
    }
  }

  async waitUntilServing () {
    const { prefix } = this.routes[0]
    while (this.now() < START_LIMIT_MS) {
      const replies = await Promise.all(this.nodes.map(node => this.send(node, 'GET', prefix)))
      if (replies.every(({ status }) => status === 200)) return
      await sleep(100)
    }
    throw new Error('the nodes do not serve')
  }

  /** Sends a consumer's request to a node; `patience`: ms after which the consumer leaves, before its deadline. */
  async send (node, method, path, body, patience) {
    const reply = await send(node.callers, { method, path, host: HOST_NAME, body, patience })
    if (body !== undefined || method === 'DELETE') this.record({ event: 'answered', node: node.name, method, path, status: reply.status })
    return reply
  }

  /** Hands a job in, with retries at other nodes as the pages describe them. */
  async submit (path, body, attempts = 4) {
    for (let attempt = 0; attempt < attempts; attempt++) {
      const { status } = await this.send(this.nodes[attempt % this.nodes.length], 'POST', path, body)
      if (status >= 200 && status < 300) return true
      await sleep(200)
    }
    return false
  }

  /** @returns the node that holds the term, as the store tells */
  decider () {
    const name = this.store.read('term', 'd', 'term')?.node
    return this.nodes.find(node => node.name === name)
  }

  kill (node) {
    this.record({ event: 'SIGKILL', node: node.name })
    node.isKilled = true
    node.child?.kill('SIGKILL')
  }

  async close () {
    this.isClosed = true
    for (const { child } of this.nodes) {
      if (child === undefined) continue
      const ended = new Promise(resolve => { child.once('exit', resolve) })
      child.kill('SIGKILL')
      await ended
    }
    for (const worker of this.workers) await worker.close()
    await this.advice?.close()
    await this.store.close()
    if (process.env.KEEP_LOGS === undefined) rmSync(this.folder, { recursive: true, force: true })
    else this.record(`logs: ${this.folder}`)
    await new Promise(resolve => { this.recordFile.end(resolve) })
  }
}

function renderSettings (template, fields) {
  return template.replaceAll(/{{([a-z_0-9.]+)(\|json)?}}/g, (_, path, json) => {
    const value = path.split('.').reduce((from, key) => from?.[key], fields)
    return json === undefined ? String(value ?? '') : JSON.stringify(value)
  })
}

/**
 * Runs a case and ends the process with its result: 3 if the rule was broken, 0 if it held, 2 if the case couldn't run.
 *
 * @param play - plays the case and returns what broke the rule, one line each
 */
export async function runCase (folder, play) {
  const stage = new Stage(folder)
  let code = 2
  const giveUp = error => {
    stage.record(`the case could not run: ${error?.stack ?? error}`)
    process.exit(2)
  }
  process.on('uncaughtException', giveUp)
  for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) process.on(signal, giveUp)
  // Also a case that ends early leaves no process behind; a node that is frozen can be killed.
  process.on('exit', () => { for (const { child } of stage.nodes) child?.kill('SIGKILL') })
  const limit = setTimeout(() => {
    stage.record('the case takes too long')
    stage.close().then(() => { process.exit(2) })
  }, CASE_LIMIT_MS)
  try {
    const broken = await play(stage, process.env.TROUBLE !== '0')
    for (const line of broken) stage.record(`BROKEN ${line}`)
    console.log(broken.length === 0 ? 'the rule held' : broken.slice(0, 5).join('\n'))
    code = broken.length === 0 ? 0 : BROKEN_EXIT_CODE
  } catch (error) {
    stage.record(`the case could not run: ${error.stack}`)
    console.log(String(error))
  }
  clearTimeout(limit)
  await stage.close()
  process.exit(code)
}
