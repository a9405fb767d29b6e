import type { Clock, Timer } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import type { Configuration, Route } from '../types/configuration.js'
import type { Job } from '../types/job.js'
import type { Answer, Question } from '../types/links.js'
import { CELL_EVENTS } from '../types/events.js'
import { CLOCK_RATE_MIN, CONFIRMATION_WINDOW, IDLE_COMMIT, LEASE_MARGIN } from '../types/limits.js'
import type { Advice, RowReader, WorkerOrders } from '../types/ports.js'
import type { RecordStore } from '../types/records.js'
import type { WorkerReport } from '../types/worker.js'
import { AdviceDesk } from './AdviceDesk.js'
import { Book } from './Book.js'
import { HandInFeed } from './HandInFeed.js'
import { InstanceFeed } from './InstanceFeed.js'
import { applyRecord, hasRuns, writeRecord } from './jobRecord.js'
import type { JobState, Task, WorkerState } from './model.js'
import { planRound } from './planRound.js'
import { rankSteps } from './rankSteps.js'
import { JobRetirer } from './JobRetirer.js'
import { Recorder } from './Recorder.js'
import type { RecordChange } from './Recorder.js'
import { Recovery } from './Recovery.js'
import { TaskLife } from './TaskLife.js'
import { StepAdvisor } from './StepAdvisor.js'
import type { Term } from './Term.js'
import { WorkerWatch } from './WorkerWatch.js'
import { detach } from './detach.js'

/** ms between a change and the round of planning that follows, so that changes close together share one. */
const ROUND_DELAY = 4
/** How many times as long as a round took, at least, the next one waits: links and workers get half of a processor. */
const ROUND_REST = 1
/** ms between rounds when nothing changes: tickets run out, rests end, occurrences fall due. */
const ROUND_PERIOD = 100
/** ms since the last confirmed commit after which nothing new is placed. */
const COMMIT_PATIENCE = 1000

/** What a decider needs. */
export interface DeciderOptions {
  store: RecordStore
  orders: WorkerOrders
  reader: RowReader
  clock: Clock
  log: Log
  term: Term
  /** Version of the term's row. */
  version: number
  configuration: () => Configuration | undefined
  /** Nodes that can ask the advice service, and the way to do so. */
  askers: () => string[]
  ask: (node: string, question: { step: string, workers: string[], timeout: number }) => Promise<Advice>
  /** Whether there are followers and none of them reaches the store either, so that nobody can claim the term unseen. */
  backed: () => boolean
  /** Called once, when another node has claimed the term. */
  deposed: (successor: string | undefined) => void
  /** ms for which ended jobs are kept. */
  retention: number
  /** Length of a lease at a worker in ms. */
  lease: number
}

/** Decides which task runs where, for as long as its term lasts. */
export class Decider {
  readonly book = new Book()
  private readonly recorder: Recorder
  private readonly watch: WorkerWatch
  private readonly life: TaskLife
  private readonly desk = new AdviceDesk()
  private readonly advisor: StepAdvisor
  private readonly routes = new Map<string, Route>()
  private learned: Configuration | undefined
  private readonly afterRecord = new Map<string, Array<() => void>>()
  private readonly recording = new Map<string, Array<() => void>>()
  private readonly handIns: HandInFeed
  private readonly instances: InstanceFeed
  private readonly retirer: JobRetirer
  /** Jobs whose records may go. */
  private readonly unneeded = new Set<string>()
  private readonly timers: Timer[] = []
  private roundDue = false
  /** Monotonic ms before which no round begins. */
  private restUntil = 0
  /** ms that the last round took. */
  private roundDuration = 0
  private stopped = false
  private paused = false
  /** Whether the records have been read. */
  ready = false

  constructor (private readonly options: DeciderOptions) {
    const { store, clock, log, term, orders } = options
    this.recorder = new Recorder({
      store, clock, log, term, version: options.version, encode: key => this.encode(key), events: { recorded: keys => { this.recorded(keys) }, deposed: ({ term: next }) => { this.depose(next?.node) } }
    })
    this.watch = new WorkerWatch({
      book: this.book, orders, clock, log, fence: term.fence, lease: options.lease, mayRenew: () => this.mayRenew(), changed: () => { this.changed() }, outrun: () => { this.depose(undefined) }
    })
    this.life = new TaskLife({
      book: this.book,
      clock,
      log,
      record: (job, then) => { this.record(job, then) },
      order: (task, ticket) => { detach(this.order(task, ticket), log, 'order') },
      stop: task => { detach(this.watch.stopRun(task), log, 'stop') },
      maxAttempts: job => this.routes.get(job.job.route)?.maxAttempts ?? 1,
      changed: () => { this.changed() }
    })
    this.watch.join(this.life)
    this.advisor = new StepAdvisor({ desk: this.desk, clock, log, ask: options.ask, changed: () => { this.changed() } })
    this.watch.onRecord = (task, then) => { this.record(task.step.unit.job, then) }
    this.retirer = new JobRetirer({
      store,
      clock,
      log,
      retired: ids => {
        for (const id of ids) {
          this.unneeded.add(id)
          this.recorder.mark(id)
        }
      }
    })
    this.handIns = new HandInFeed({ store, clock, log, job: job => { this.addJob(job, 'feed') }, cancel: id => { this.cancel(id) } })
    this.instances = new InstanceFeed({ store, reader: options.reader, clock, log, listed: report => { this.listed(report) }, gone: id => { this.gone(id) } })
  }

  /** Reads the records and begins to decide. */
  async start (): Promise<void> {
    const { clock, log, term, store } = this.options
    const since = clock.now()
    this.timers.push(clock.repeat(IDLE_COMMIT, () => { this.recorder.kick() }), clock.repeat(ROUND_PERIOD, () => { this.changed() }))
    const recovery = new Recovery({ store, clock, log })
    const [found] = await Promise.all([recovery.read(() => this.stopped), this.instances.start(() => this.stopped)])
    if (found === undefined || this.stopped) return
    for (const [id, phase] of found.ended) {
      this.book.retire(id, phase, since)
      this.retirer.add(id, phase)
    }
    let assumed = 0
    for (const job of found.jobs) {
      const state = this.addJob(job, 'record')
      const record = found.records.get(job.id)
      if (record !== undefined && state !== undefined) assumed += this.assume(applyRecord(this.book, state, record), since)
    }
    for (const id of found.cancelled) this.cancel(id)
    this.handIns.start(found.version, () => this.stopped)
    this.retirer.start(() => this.stopped)
    this.ready = true
    log.write(CELL_EVENTS.recovered, { fence: term.fence, jobs: found.jobs.length, assumed, duration: Math.round(clock.now() - since) })
    for (const worker of this.book.workers.values()) this.watch.watch(worker)
    this.changed()
  }

  /** Ends all deciding; orders that are under way are not waited for. */
  stop (): void {
    this.stopped = true
    for (const timer of this.timers) timer.cancel()
    this.recorder.stop()
    this.watch.stop()
  }

  /** Commits at once, which tells whether the term is still held. */
  confirm (): void {
    this.recorder.kick()
  }

  /** Places nothing more, ahead of a hand-over. */
  pause (): void {
    this.paused = true
  }

  /** @returns monotonic ms at which the last successful commit was sent */
  get confirmedAt (): number {
    return this.recorder.confirmedAt
  }

  /** @returns transactions written */
  get commits (): number {
    return this.recorder.commits
  }

  /** Takes a job in; one that is known is left as it is. */
  addJob (job: Job, source: 'link' | 'feed' | 'record'): JobState | undefined {
    if (this.book.ended.has(job.id)) return undefined
    const known = this.book.jobs.get(job.id)
    if (known !== undefined) return known
    const { clock, store, log } = this.options
    const age = store.now() === 0 ? 0 : Math.max(0, store.now() - job.acceptedAt)
    if (source !== 'record') log.write(CELL_EVENTS.jobKnown, { job: job.id, source })
    this.learnRoutes()
    const state = this.book.addJob(job, { now: clock.now(), age, wall: clock.wall() })
    this.changed()
    return state
  }

  /** Cancels a job whose cancellation is on record. */
  cancel (id: string): void {
    const state = this.book.jobs.get(id)
    if (state !== undefined) this.life.endJob(state, 'cancelled')
  }

  /** @returns what the decider knows */
  answer (question: Question): Answer {
    if (question.about === 'queue') return { about: 'queue', waiting: this.book.waiting(question.route) }
    const { id } = question
    return { about: 'job', phase: this.book.jobs.get(id)?.shown ?? this.book.ended.get(id)?.phase ?? 'unknown' }
  }

  /** Asks for a round of planning soon. */
  changed (): void {
    if (this.roundDue || this.stopped) return
    this.roundDue = true
    this.options.clock.schedule(Math.max(ROUND_DELAY, this.restUntil - this.options.clock.now()), () => {
      this.roundDue = false
      if (this.stopped) return
      const since = this.options.clock.now()
      this.plan()
      const now = this.options.clock.now()
      this.roundDuration = now - since
      this.restUntil = now + ROUND_REST * this.roundDuration
    })
  }

  private plan (): void {
    const { clock } = this.options
    const now = clock.now()
    if (!this.ready || this.paused || now - this.recorder.confirmedAt > COMMIT_PATIENCE) return
    this.learnRoutes()
    const ranked = rankSteps(this.book.ready, { routeOf: name => this.routes.get(name), now })
    if (ranked.length === 0) return
    const usable = new Map<string, WorkerState[]>()
    for (const worker of this.book.workers.values()) if (isUsable(worker, now)) push(usable, worker.report.service, worker)
    const askers = this.desk.open(this.options.askers(), now, (1 + ROUND_REST) * this.roundDuration)
    const round = planRound(ranked, { workersOf: service => usable.get(service) ?? [], now, askers, goodShare: route => this.desk.goodShare(route) })
    this.life.place(round.placements)
    for (const wish of round.wishes) detach(this.advisor.advise(wish), this.options.log, 'advice')
  }

  private async order (task: Task, ticket?: string): Promise<void> {
    const { worker, run } = task
    if (worker === undefined || this.stopped) return
    const leaseEnd = this.watch.lease(worker)
    const outcome = await this.options.orders.start(worker.report, {
      task: task.name, run, spec: task.step.unit.job.job.spec, leaseEnd, fence: this.options.term.fence, checkpoint: task.checkpoint, ticket
    })
    if (this.stopped) return
    if (outcome.kind === 'refused' && outcome.reason === 'fence') return this.depose(undefined)
    this.life.orderAnswered(task, run, worker, outcome)
    // A worker that was idle is looked at from now on, so that the run's end is heard of at once.
    this.watch.wake(worker)
  }

  private mayRenew (): boolean {
    return this.options.clock.now() - this.recorder.confirmedAt < CONFIRMATION_WINDOW || this.options.backed()
  }

  private assume (runs: Array<{ task: Task, worker: string }>, since: number): number {
    for (const { task, worker: id } of runs) {
      const worker = this.book.workers.get(id) ?? this.unlisted(id)
      task.phase = 'assumed'
      this.book.assign(task, worker)
      this.book.refreshUnit(task.step.unit)
      worker.leaseOver = since + CONFIRMATION_WINDOW + this.options.lease / CLOCK_RATE_MIN + LEASE_MARGIN
    }
    return runs.length
  }

  /** A worker that only the records name: its leases are waited out. */
  private unlisted (id: string): WorkerState {
    const worker = this.book.worker({ id, service: '', address: '', dataCentre: '', state: 'draining', capacity: { cpu: 0, memory: 0, accelerators: 0 }, labels: [], born: 0 })
    worker.listed = false
    return worker
  }

  private listed (report: WorkerReport): void {
    const known = this.book.workers.get(report.id)
    if (known === undefined) {
      const worker = this.book.worker(report)
      if (this.ready) this.watch.watch(worker)
      this.changed()
      return
    }
    // The incarnation is taken over by the next look, which also settles the runs of the former one.
    known.report = { ...report, born: known.report.born }
    known.listed = true
    this.changed()
  }

  private gone (id: string): void {
    const worker = this.book.workers.get(id)
    if (worker === undefined) return
    worker.listed = false
    worker.report = { ...worker.report, state: 'draining' }
  }

  private learnRoutes (): void {
    const configuration = this.options.configuration()
    if (configuration === this.learned) return
    this.learned = configuration
    // Jobs of a route that was removed go on under its last terms.
    for (const route of configuration?.routes ?? []) this.routes.set(route.name, route)
  }

  private record (job: JobState, then?: () => void): void {
    if (then !== undefined) push(this.afterRecord, job.job.id, then)
    this.recorder.mark(job.job.id)
  }

  private encode (key: string): RecordChange | null {
    this.recording.set(key, this.afterRecord.get(key) ?? [])
    this.afterRecord.delete(key)
    const state = this.book.jobs.get(key)
    if (state !== undefined) return { kind: 'put', value: writeRecord(state) }
    return this.unneeded.delete(key) ? { kind: 'delete' } : null
  }

  private recorded (keys: string[]): void {
    for (const key of keys) {
      const actions = this.recording.get(key) ?? []
      this.recording.delete(key)
      for (const action of actions) action()
      this.retireEnded(key)
    }
    this.forgetEnded()
  }

  private retireEnded (id: string): void {
    const state = this.book.jobs.get(id)
    if (state === undefined || state.phase === 'open' || state.shown !== state.phase || hasRuns(state) || this.afterRecord.has(id)) return
    this.book.retire(id, state.phase, this.options.clock.now())
    this.retirer.add(id, state.phase)
  }

  private forgetEnded (): void {
    const limit = this.options.clock.now() - this.options.retention
    for (const [id, { at }] of this.book.ended) {
      if (at > limit) return
      this.book.ended.delete(id)
    }
  }

  private depose (successor: string | undefined): void {
    if (this.stopped) return
    this.stop()
    this.options.log.write(CELL_EVENTS.deposed, { fence: this.options.term.fence, successor })
    this.options.deposed(successor)
  }
}

function isUsable (worker: WorkerState, now: number): boolean {
  return worker.listed && worker.known && worker.reachable && worker.report.state === 'ready' && worker.strangers === 0 && worker.restUntil <= now
}

function push<Key, Value> (map: Map<Key, Value[]>, key: Key, value: Value): void {
  const list = map.get(key)
  if (list === undefined) map.set(key, [value])
  else list.push(value)
}
