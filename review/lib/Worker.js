import { setTimeout as sleep } from 'node:timers/promises'
import { serveJson } from './http.js'

const STOP_MS = 100
const HOLD_MAX_MS = 10_000
const SAVE_MS = 2000
const HEARTBEAT_MS = 1500
const TICK_MS = 10
const GANG_MS = 3000

/**
 * Stand-in for a worker that follows the users' protocol. `fleet` knows what the tasks are and checks what they do.
 *
 * A worker that is down refuses channels; one that is cut neither receives nor answers calls, and runs on.
 */
export class Worker {
  constructor ({ id, address, cpu, memory = 65_536, labels, service, zone, store, fleet }) {
    Object.assign(this, { id, address, cpu, memory, labels, service, zone, store, fleet })
    this.isUp = false
    this.isCut = false
    this.sequence = 0
    this.sockets = new Set()
  }

  async start () {
    const [host, port] = this.address.split(':')
    this.server = await serveJson({ host, port: Number(port) }, async call => await this.answer(call))
    this.server.on('connection', socket => {
      this.sockets.add(socket)
      socket.on('close', () => { this.sockets.delete(socket) })
    })
    this.isUp = true
    this.born = Date.now()
    this.bornAt = performance.now()
    this.running = new Map()
    this.ended = []
    this.endCount = 0
    this.fence = 0
    this.leaseEnd = 0
    this.closed = new Map()
    this.beat()
    this.heartbeat = setInterval(() => { this.beat() }, HEARTBEAT_MS)
    this.ticker = setInterval(() => { this.tick() }, TICK_MS)
  }

  /** Ends the worker without a word: what runs on it ends, its channels are reset. */
  crash () {
    if (!this.isUp) return
    this.isUp = false
    clearInterval(this.heartbeat)
    clearInterval(this.ticker)
    for (const run of this.running.values()) this.fleet.runGone(this, run, 'lost with its worker')
    this.running.clear()
    for (const socket of this.sockets) socket.resetAndDestroy()
    this.server.close()
  }

  beat () {
    if (this.isCut) return
    this.store.put('servers', this.id, {
      service: this.service, address: this.address, zone: this.zone, version: 'v1', slots: 8, state: 'ready', cold_remaining_ms: 0, capacity: { cpu: this.cpu, mem_mb: this.memory, gpu: 0 }, labels: this.labels, clock_ms: this.clock(), sequence: ++this.sequence, born: this.born
    })
  }

  clock () {
    return Math.round(performance.now() - this.bornAt)
  }

  get used () {
    let sum = 0
    for (const run of this.running.values()) sum += run.cpu
    return sum
  }

  tick () {
    if (this.clock() > this.leaseEnd) {
      for (const end of this.ended) end.isOutlived = true
      for (const run of [...this.running.values()]) this.end(run, 'lapsed')
    }
    const now = performance.now()
    for (const run of [...this.running.values()]) {
      if (run.endsAt <= now) this.end(run, run.how)
      else if (run.isWaiting && now - run.startedAt > GANG_MS) this.end(run, 'alone')
      else if (run.saves) run.saved = Math.floor((now - run.startedAt) / SAVE_MS)
    }
  }

  end (run, how) {
    this.running.delete(run.task)
    this.close(run.task, run.run)
    const end = { number: ++this.endCount, task: run.task, run: run.run, how, saved: checkpointOf(run), isOutlived: false }
    this.ended.push(end)
    this.fleet.runGone(this, run, how)
  }

  close (task, run) {
    this.closed.set(task, Math.max(run, this.closed.get(task) ?? 0))
  }

  async answer ({ path, body = {}, headers }) {
    if (!this.isUp || this.isCut) return undefined
    if (path === '/health') return { status: 200 }
    const { born } = this
    const reply = this.take(path, body, headers['expect-instance'])
    if (path !== '/hold' || reply.status !== 200) return reply
    const until = performance.now() + Math.min(2000, body.wait_ms ?? 0)
    while (this.isUp && this.born === born && this.ended.length === 0 && performance.now() < until) await sleep(TICK_MS)
    if (!this.isUp || this.isCut || this.born !== born) return undefined
    const now = performance.now()
    const running = [...this.running.values()].map(run => [run.task, run.run, checkpointOf(run), run.duration === Infinity ? 100 : Math.min(99, Math.floor(100 * (now - run.startedAt) / run.duration)), run.cpu])
    return { status: 200, body: { clock_ms: this.clock(), born, running, ended: this.ended.slice(0, 500).map(({ number, task, run, how, saved }) => [number, task, run, how, saved]) } }
  }

  take (path, body, instance) {
    const reply = (status, fields = {}) => ({ status, body: { clock_ms: this.clock(), born: this.born, ...fields } })
    if (instance !== undefined && instance !== this.id) return reply(421)
    const token = body.fencing_token ?? 0
    if (token < this.fence) return reply(409, { reason: 'fence' })
    this.fence = token
    if (path === '/hold') {
      if (body.deadline_ms !== undefined) this.extend(body.deadline_ms)
      while (this.ended.length > 0 && this.ended[0].number <= (body.acked_through ?? 0)) this.fleet.endNoted(this, this.ended.shift())
      return reply(200)
    }
    if (path === '/run-stop') {
      const present = this.running.get(body.task)
      this.close(body.task, body.run)
      if (present !== undefined && present.run <= body.run) {
        present.how = 'stopped'
        present.endsAt = Math.min(present.endsAt, performance.now() + STOP_MS)
      }
      return reply(200)
    }
    if (path !== '/run-start') return reply(400)
    const [status, fields] = this.takeStart(body)
    if (status !== 200) this.fleet.startRefused(this, body, fields?.reason ?? String(status))
    return reply(status, fields)
  }

  takeStart ({ task, run, spec, deadline_ms: deadline = 0, checkpoint = '' }) {
    if ((this.closed.get(task) ?? 0) >= run) {
      this.extend(deadline)
      return [409, { reason: 'old' }]
    }
    if (deadline <= this.clock()) return [409, { reason: 'late' }]
    this.extend(deadline)
    if (this.running.get(task)?.run === run) return [200]
    const plan = this.fleet.planOf(task, run)
    if (plan === undefined) {
      this.fleet.unasked(this, task, run)
      return [400]
    }
    const now = performance.now()
    const started = { task, run, cpu: plan.cpu, saves: plan.saves, duration: plan.duration, startedAt: now, endsAt: plan.gang > 1 ? Infinity : now + plan.duration, isWaiting: plan.gang > 1, how: plan.fails ? 'failed' : 'done', saved: 0 }
    this.running.set(task, started)
    this.fleet.runStarted(this, started, { spec, checkpoint, deadline, lease: Math.round(this.leaseEnd - this.clock()) })
    return [200]
  }

  extend (deadline) {
    this.leaseEnd = Math.max(this.leaseEnd, Math.min(deadline, this.clock() + HOLD_MAX_MS))
  }
}

function checkpointOf ({ task, run, saved }) {
  if (saved === 0) return ''
  let hash = run
  for (const character of task) hash = (hash * 31 + character.charCodeAt(0)) >>> 0
  return saved.toString(16).padStart(8, '0') + hash.toString(16).padStart(8, '0')
}
