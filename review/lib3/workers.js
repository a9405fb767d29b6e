import { createServer } from 'node:http'

const STOP_MS = 80
const MAX_LEASE_MS = 10_000
const HEARTBEAT_MS = 1500
const TICK_MS = 10
const SAVE_MS = 2000
/** Ends in one list. */
const LISTED_ENDS = 500

/** Workers as the pages describe them, and a record of what they are told and do. */
export class Fleet {
  workers = []
  /** What happened: starts and ends of runs, and ends that are taken note of. */
  events = []

  /** @param options - `planOf`: returns how a task behaves: `duration` in ms; `undefined` for one that nobody has sent */
  constructor ({ store, service, planOf }) {
    Object.assign(this, { store, service, planOf })
  }

  async add (count, options) {
    for (let index = 0; index < count; index++) {
      const worker = new Worker({ fleet: this, id: `i-${(0x1000_0000 + 7919 * (this.workers.length + 1)).toString(16)}`, ...options })
      await worker.start()
      this.workers.push(worker)
    }
    this.timer ??= setInterval(() => { for (const worker of this.workers) worker.tick() }, TICK_MS)
  }

  stop () {
    clearInterval(this.timer)
    for (const worker of this.workers) worker.stop()
  }

  note (kind, fields) {
    this.events.push({ at: Math.round(performance.now()), kind, ...fields })
  }

  /** @returns the runs of a task that are not over */
  runsOf (task) {
    return this.workers.flatMap(({ running }) => running.get(task) ?? [])
  }

  /**
   * Rule TWICE: two runs of a task at the same time, or a start after a run has ended `done` whose end is taken note of then or later, unless the worker's lease lapsed
   * between the two.
   *
   * @returns the starts that break the rule
   */
  findTwice () {
    const noted = new Set(this.events.filter(({ kind, excused }) => kind === 'noted' && !excused).map(({ worker, life, number }) => `${worker} ${life} ${number}`))
    const done = new Map()
    const running = new Map()
    const broken = []
    for (const event of this.events) {
      if (event.kind === 'start') {
        const others = running.get(event.task) ?? []
        const end = done.get(event.task)
        if (others.length > 0) broken.push({ rule: 'at the same time', ...event, others })
        else if (end !== undefined) broken.push({ rule: 'after the end as done', ...event, done: end })
        running.set(event.task, [...others, `${event.run} on ${event.worker}`])
      } else if (event.kind === 'end') {
        running.set(event.task, (running.get(event.task) ?? []).filter(run => run !== `${event.run} on ${event.worker}`))
        if (event.how === 'done' && noted.has(`${event.worker} ${event.life} ${event.number}`)) done.set(event.task, { at: event.at, run: event.run, worker: event.worker })
      }
    }
    return broken
  }
}

/** A stand-in for a worker. Ends that its lease outlives before they are taken note of are marked as excused. */
export class Worker {
  running = new Map()
  isUp = false
  lives = 0
  #sequence = 0
  #sockets = new Set()

  constructor ({ fleet, id, capacity, labels = [], zone = 'a' }) {
    Object.assign(this, { fleet, id, capacity, labels, zone })
  }

  async start () {
    this.lives++
    this.born = Date.now()
    this.bornAt = performance.now()
    this.running = new Map()
    this.ended = []
    this.closed = new Map()
    this.nextEnd = 1
    this.fence = 0
    this.leaseEnd = 0
    this.server = createServer((request, response) => { this.#serve(request, response).catch(() => response.destroy()) })
    this.server.keepAliveTimeout = 60_000
    this.server.on('connection', socket => {
      this.#sockets.add(socket)
      socket.once('close', () => this.#sockets.delete(socket))
    })
    await new Promise((resolve, reject) => this.server.once('error', reject).listen(this.port ?? 0, '127.0.0.1', resolve))
    this.port = this.server.address().port
    this.isUp = true
    clearTimeout(this.expiry)
    this.#beat()
    this.heartbeat = setInterval(() => this.#beat(), HEARTBEAT_MS)
  }

  /** Ends without a word, with all that runs; the entry expires after three intervals of silence. */
  crash () {
    const lost = [...this.running.values()]
    this.fleet.note('crash', { worker: this.id, runs: lost.length })
    for (const run of lost) this.fleet.note('end', { task: run.task, run: run.run, worker: this.id, life: this.lives, number: 0, how: 'lost' })
    this.stop()
    this.expiry = setTimeout(() => { this.fleet.store.remove('servers', '', this.id) }, 3 * HEARTBEAT_MS)
  }

  stop () {
    this.isUp = false
    clearInterval(this.heartbeat)
    clearTimeout(this.expiry)
    this.running = new Map()
    this.server.close()
    for (const socket of this.#sockets) socket.destroy()
  }

  clock () {
    return Math.round(performance.now() - this.bornAt)
  }

  tick () {
    if (!this.isUp) return
    const now = performance.now()
    if (this.clock() > this.leaseEnd) {
      for (const end of this.ended) end.excused = true
      for (const run of [...this.running.values()]) this.#end(run, 'lapsed')
    }
    for (const run of [...this.running.values()]) if (run.endsAt <= now) this.#end(run, run.how)
  }

  #beat () {
    const { id, port, zone, capacity, labels, born, fleet } = this
    fleet.store.put('servers', '', id, { id, service: fleet.service, address: `127.0.0.1:${port}`, zone, version: 'v1', slots: 8, state: 'ready', cold_remaining_ms: 0, sequence: ++this.#sequence, capacity, labels, born, machine: `m-${id}` })
  }

  #end (run, how) {
    this.running.delete(run.task)
    this.closed.set(run.task, Math.max(run.run, this.closed.get(run.task) ?? 0))
    const number = this.nextEnd++
    const saved = run.saves && how !== 'done' ? savedAt(run.workedBefore + performance.now() - run.startedAt, run.task) : ''
    this.ended.push({ row: [number, run.task, run.run, how, saved], excused: false })
    this.fleet.note('end', { task: run.task, run: run.run, worker: this.id, life: this.lives, number, how })
    this.wake?.()
  }

  async #serve (request, response) {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const body = chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString('utf8'))
    const reply = await this.#answer(request, body)
    response.writeHead(reply.status, { 'content-type': 'application/json' })
    response.end(reply.body === undefined ? '' : JSON.stringify(reply.body))
  }

  async #answer ({ url, method, headers }, body) {
    if (method === 'GET') return { status: 200 }
    const instance = headers['expect-instance']
    if (instance !== undefined && instance !== this.id) return { status: 421 }
    const token = body.fencing_token ?? 0
    if (token < this.fence) return this.#refuse('fence')
    this.fence = token
    if (url === '/run-start') return this.#startRun(body)
    if (url === '/run-stop') return this.#stopRun(body)
    return await this.#hold(body)
  }

  #startRun ({ task, run, spec, checkpoint, deadline_ms: deadline = 0 }) {
    if ((this.closed.get(task) ?? 0) >= run) {
      this.#extend(deadline)
      return this.#refuse('old')
    }
    if (deadline <= this.clock()) return this.#refuse('late')
    this.#extend(deadline)
    if (this.running.get(task)?.run !== run) {
      const plan = this.fleet.planOf(task)
      this.fleet.note('start', { task, run, worker: this.id, life: this.lives, fence: this.fence, unasked: plan === undefined || plan.spec !== spec, ...(checkpoint === undefined ? {} : { checkpoint }) })
      const duration = plan?.duration ?? 1000
      const workedBefore = checkpoint === undefined ? 0 : Math.min(duration, Number.parseInt(checkpoint.slice(0, 8), 16))
      this.running.set(task, { task, run, workedBefore, startedAt: performance.now(), endsAt: performance.now() + duration - workedBefore, duration, how: plan?.how ?? 'done', saves: plan?.saves === true, isLasting: plan?.isLasting === true })
    }
    return { status: 200, body: { clock_ms: this.clock(), born: this.born } }
  }

  #stopRun ({ task, run }) {
    this.closed.set(task, Math.max(run, this.closed.get(task) ?? 0))
    const present = this.running.get(task)
    if (present !== undefined && present.run <= run && present.how !== 'stopped') {
      present.how = 'stopped'
      present.endsAt = Math.min(present.endsAt, performance.now() + STOP_MS)
    }
    return { status: 200, body: { clock_ms: this.clock(), born: this.born } }
  }

  async #hold ({ acked_through: acked = 0, deadline_ms: deadline, wait_ms: wait = 0 }) {
    if (deadline !== undefined) this.#extend(deadline)
    while (this.ended.length > 0 && this.ended[0].row[0] <= acked) {
      const { row: [number, task, run, how], excused } = this.ended.shift()
      this.fleet.note('noted', { task, run, how, worker: this.id, life: this.lives, number, excused })
    }
    if (this.ended.length === 0 && wait > 0) {
      await new Promise(resolve => {
        const timer = setTimeout(resolve, Math.min(2000, wait))
        this.wake = () => {
          clearTimeout(timer)
          resolve()
        }
      })
    }
    const now = performance.now()
    const workOf = run => run.workedBefore + now - run.startedAt
    const percentOf = run => run.isLasting ? 100 : Math.max(0, Math.min(100, Math.round(100 * workOf(run) / run.duration)))
    const running = [...this.running.values()].map(run => [run.task, run.run, run.saves ? savedAt(workOf(run), run.task) : '', percentOf(run), 0])
    return { status: 200, body: { clock_ms: this.clock(), born: this.born, running, ended: this.ended.slice(0, LISTED_ENDS).map(({ row }) => row) } }
  }

  #extend (end) {
    this.leaseEnd = Math.max(this.leaseEnd, Math.min(end, this.clock() + MAX_LEASE_MS))
  }

  #refuse (reason) {
    return { status: 409, body: { clock_ms: this.clock(), born: this.born, reason } }
  }
}

/** @returns the checkpoint of a task: its work in ms, saved each 2 s, and eight digits of the task */
function savedAt (work, task) {
  const saved = SAVE_MS * Math.floor(work / SAVE_MS)
  return saved === 0 ? '' : saved.toString(16).padStart(8, '0') + task.slice(0, 8)
}
