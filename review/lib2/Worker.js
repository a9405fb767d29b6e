import { serveJson } from './http.js'

/** Bounds of the small deployments. */
const HOLD_MAX_MS = 10_000
const STOP_MS = 400
const TICK_MS = 10
const HEARTBEAT_MS = 1500

/** Spreads the workers' heartbeats. */
function hash32 (text) {
  let hash = 7
  for (const char of text) hash = (Math.imul(hash, 31) + char.charCodeAt(0)) >>> 0
  return hash
}

/** Stand-in for a worker that runs tasks under leases, as the pages describe it. */
export class Worker {
  /**
   * @param options - `id`, `host`, `zone`, `store`, `capacity`, `labels`; `durationOf`: ms of work of a task, `Infinity` for one that lasts;
   * `onEvent`: receives what the worker starts and ends
   */
  constructor (options) {
    this.options = options
    this.labels = options.labels
    /** Status with which every order to start is refused, or 0. */
    this.unhealthyStatus = 0
    this.isUp = false
  }

  /** Starts a life of the worker, under its id and at its address. */
  async start () {
    const { host, onEvent, id } = this.options
    this.born = Date.now()
    this.bornAt = performance.now()
    this.running = new Map()
    this.ended = []
    this.closed = new Map()
    this.nextEnd = 1
    this.fence = 0
    this.leaseEnd = 0
    this.sequence = 0
    this.isUp = true
    this.server = await serveJson(call => this.answer(call), host, this.port ?? 0)
    this.port = Number(this.server.address.split(':')[1])
    this.announce()
    const phase = HEARTBEAT_MS * (hash32(id) % 100) / 100
    this.timers = [setInterval(() => { this.tick() }, TICK_MS), setTimeout(() => { this.timers.push(setInterval(() => { this.announce() }, HEARTBEAT_MS)) }, phase)]
    onEvent({ event: 'worker-up', worker: id, labels: this.labels })
  }

  /** Ends the worker without a word; everything that runs on it ends. */
  async crash () {
    const { id, onEvent } = this.options
    this.isUp = false
    for (const timer of this.timers) clearTimeout(timer)
    onEvent({ event: 'worker-crashed', worker: id, running: [...this.running.keys()] })
    this.running.clear()
    await this.server.close()
  }

  async close () {
    if (this.isUp) await this.crash()
  }

  clock () {
    return Math.round(performance.now() - this.bornAt)
  }

  announce () {
    const { id, zone, store, service, capacity } = this.options
    store.put('servers', id, { service, address: this.server.address, zone, version: 'v1', slots: 8, state: 'ready', cold_remaining_ms: 0, sequence: ++this.sequence, capacity, labels: this.labels, born: this.born })
  }

  tick () {
    if (this.clock() > this.leaseEnd) for (const run of [...this.running.values()]) this.end(run, 'lapsed')
    const now = performance.now()
    for (const run of [...this.running.values()]) if (run.endsAt <= now) this.end(run, run.how)
  }

  end (run, how) {
    this.running.delete(run.task)
    this.close_(run.task, run.run)
    this.ended.push([this.nextEnd++, run.task, run.run, how, ''])
    this.options.onEvent({ event: 'run-ended', worker: this.options.id, task: run.task, run: run.run, how })
  }

  close_ (task, run) {
    this.closed.set(task, Math.max(run, this.closed.get(task) ?? 0))
  }

  async answer ({ path, body, headers }) {
    const instance = headers['expect-instance']
    if (instance !== undefined && instance !== this.options.id) return { status: 421 }
    if (path === '/run-start' && this.unhealthyStatus !== 0) {
      this.options.onEvent({ event: 'start-refused', worker: this.options.id, task: body.task, run: body.run, status: this.unhealthyStatus })
      return { status: this.unhealthyStatus }
    }
    if ((body.fencing_token ?? 0) < this.fence) return this.refuse('fence')
    this.fence = body.fencing_token ?? 0
    if (path === '/run-start') return this.startRun(body)
    if (path === '/run-stop') return this.stopRun(body)
    if (path === '/hold') return await this.hold(body)
    return { status: 404 }
  }

  startRun ({ task, run, deadline_ms: deadline }) {
    const { id, onEvent, durationOf } = this.options
    if ((this.closed.get(task) ?? 0) >= run) {
      this.extendLease(deadline)
      return this.refuse('old')
    }
    if (deadline <= this.clock()) return this.refuse('late')
    this.extendLease(deadline)
    if (this.running.get(task)?.run === run) return this.confirm()
    const now = performance.now()
    this.running.set(task, { task, run, startedAt: now, endsAt: now + durationOf(task), how: 'done' })
    onEvent({ event: 'run-started', worker: id, task, run, labels: this.labels })
    return this.confirm()
  }

  stopRun ({ task, run }) {
    const present = this.running.get(task)
    this.close_(task, run)
    if (present !== undefined && present.run <= run) Object.assign(present, { how: 'stopped', endsAt: Math.min(present.endsAt, performance.now() + STOP_MS / 2) })
    return this.confirm()
  }

  async hold ({ deadline_ms: deadline, acked_through: acked = 0, wait_ms: wait = 0 }) {
    if (deadline !== undefined) this.extendLease(deadline)
    this.ended = this.ended.filter(([number]) => number > acked)
    const { born } = this
    const until = performance.now() + wait
    while (this.isUp && this.ended.length === 0 && performance.now() < until) await new Promise(resolve => { setTimeout(resolve, TICK_MS) })
    if (!this.isUp || this.born !== born) throw new Error('the worker has ended')
    return { status: 200, body: { clock_ms: this.clock(), born, running: [...this.running.values()].map(run => [run.task, run.run, '', this.percentOf(run), 1000]), ended: this.ended.slice(0, 500) } }
  }

  percentOf ({ startedAt, endsAt }) {
    if (endsAt === Infinity) return 100
    return Math.max(0, Math.min(99, Math.round(100 * (performance.now() - startedAt) / (endsAt - startedAt))))
  }

  extendLease (end) {
    this.leaseEnd = Math.max(this.leaseEnd, Math.min(end, this.clock() + HOLD_MAX_MS))
  }

  confirm () {
    return { status: 200, body: { clock_ms: this.clock(), born: this.born } }
  }

  refuse (reason) {
    return { status: 409, body: { clock_ms: this.clock(), born: this.born, reason } }
  }
}
