import type { Clock, Timer } from '@rattanstep/core'
import type { BacklogReport, OpenJobReport } from '@rattanstep/policy'
import type { LatencyHistogram, Log, Metrics } from '@rattanstep/telemetry'
import type { Configuration, Route } from '../types/configuration.js'
import type { Job, JobPhase, RecordedJob } from '../types/job.js'
import type { ExplainQuery } from '../types/explain.js'
import type { Answer, Question } from '../types/links.js'
import { CELL_EVENTS } from '../types/events.js'
import { CONFIRMATION_WINDOW_MS, IDLE_COMMIT_INTERVAL_MS } from '../types/limits.js'
import type { Advice, RowReader, WorkerClient } from '../types/ports.js'
import type { RecordStore } from '../types/records.js'
import type { WorkerReport } from '../types/worker.js'
import { OpenJobs } from '../openJobs/OpenJobs.js'
import { TaskCounter } from '../openJobs/TaskCounter.js'
import { weighJob } from '../openJobs/weighJob.js'
import { AdviceScheduler } from './AdviceScheduler.js'
import { BacklogMeter } from './BacklogMeter.js'
import { PhaseWaiters } from './PhaseWaiters.js'
import { Registry } from './Registry.js'
import { SubmissionFeed } from './SubmissionFeed.js'
import { InstanceFeed } from './InstanceFeed.js'
import { ConcurrencyLimit } from './ConcurrencyLimit.js'
import { StartFlow } from '../starts/StartFlow.js'
import { CrashLedger } from './CrashLedger.js'
import { incarnationTag } from './CrashBudget.js'
import { applyRecord, hasRuns, encodeJobRecord, recordedPhase } from './jobRecord.js'
import type { RecordedRun } from './jobRecord.js'
import type { GangHold, JobState, StepState, Task, WorkerState } from './model.js'
import { explainJob } from '../explain/explainJob.js'
import { findScheduledRoute } from './findScheduledRoute.js'
import { findStartObstacle, isUsable } from './findStartObstacle.js'
import { OrganisationMonitor } from '../organisations/OrganisationMonitor.js'
import { OrganisationTable } from '../organisations/OrganisationTable.js'
import type { OrganisationStatus } from '../organisations/OrganisationTable.js'
import { planRound } from './planRound.js'
import type { RoundPlan } from './planRound.js'
import { PreemptionRound } from './PreemptionRound.js'
import type { Preemption } from './PreemptionRound.js'
import { rankSteps } from './rankSteps.js'
import { runLogged } from './runLogged.js'
import { JobArchiver } from './JobArchiver.js'
import { Recorder } from './Recorder.js'
import type { RecordChange } from './Recorder.js'
import type { StoredRecord } from './recordRows.js'
import { Recovery } from './Recovery.js'
import { isolatedWorkers } from './Suspicion.js'
import { TaskLifecycle } from './TaskLifecycle.js'
import { StepAdvisor } from './StepAdvisor.js'
import type { Term } from './Term.js'
import { WaitMonitor } from './WaitMonitor.js'
import { WorkerLeases } from './WorkerLeases.js'
import { countSpeedClasses, SPEED_UPDATE_INTERVAL_MS, updateSpeeds } from '../speeds/noteCompletedRun.js'
import { STRONGLY_UNEVEN_SPREAD, WorkerSpeeds } from '../speeds/WorkerSpeeds.js'
import { WorkerPoller } from './WorkerPoller.js'
import { detach } from './detach.js'

/** Delay between a change and the next round of planning, so that changes in quick succession share one round. */
const ROUND_DELAY_MS = 4
/** Minimum pause after a round, as a multiple of its duration; leaves half of the processor time to links and workers. */
const ROUND_PAUSE_RATIO = 1
/** Interval between rounds without any change: tickets expire, suspensions end and occurrences become due as time passes. */
const ROUND_INTERVAL_MS = 100
/** Maximum age of the last confirmed commit at which tasks are still placed. */
const MAX_COMMIT_AGE_MS = 1000
/**
 * Maximum age of the instance list at which tasks are placed and started: less than the time after which a reduced capacity of a worker counts,
 * more than a lost poll of the list takes until its repeat is answered.
 */
const MAX_INSTANCE_LIST_AGE_MS = 3000
/** Maximum age of the last confirmed commit at which phases are answered from memory; an idle decider commits more often than twice in this time. */
const MAX_ANSWER_AGE_MS = 500

/** Interval between checks for steps that are ready and are not placed. */
const WAIT_CHECK_INTERVAL_MS = 1000

/** Minimum interval between explanations of jobs, each of which ranks all ready steps: a few ms in the largest cells. */
const EXPLANATION_INTERVAL_MS = 200

/** Where a decider learned of a job: an announcement over a link, the feed of submissions, or the records read at the start. */
export type JobSource = 'link' | 'feed' | 'record'

/** Options of a decider. */
export interface DeciderOptions {
  store: RecordStore
  workers: WorkerClient
  reader: RowReader
  clock: Clock
  log: Log
  metrics: Metrics
  term: Term
  /** Version of the term row. */
  termRowVersion: number
  configuration: () => Configuration | undefined
  /** Nodes that can call the advice service. */
  advisorNodes: () => string[]
  /** Has a node call the advice service; `timeout` in ms. */
  askAdvice: (node: string, question: { step: string, workers: string[], timeout: number }) => Promise<Advice>
  /** Whether no other node can have claimed the term, because the store answers none of them. */
  isStoreLostForAll: () => boolean
  /** Called once, when the store or a worker shows that another node has claimed the term; `successor` is that node, if known. */
  onTermLost: (successor: string | undefined) => void
  /** ms for which the phases of ended jobs are kept. */
  retention: number
  /** Duration of a lease in ms. */
  lease: number
  /** Longest lease that workers accept, in ms. */
  leaseMax: number
  /** Whether runs are stopped for more urgent work even if the configuration names no organisations. */
  preempts: boolean
  /** Whether the backlog is reported, so that nodes refuse what would end too late, even if the configuration names no organisations. */
  refuses: boolean
  /** Returns the weight in bytes of the jobs that this decider may hold; without it, there is no bound. */
  openJobLimit?: () => number
  /** Number of accepted jobs beyond that whose ids are kept. */
  maxDeferred?: number
  /** Number of task objects above which no further ones are created for placements. */
  maxOpenTasks?: number
  /** Number of orders to start that may be in flight; further ones wait. */
  maxStartOrders?: number
  /** Called when a job must wait in the store, or a task for the end of others. */
  onOpenWorkLimit?: (limit: 'openJobBytes' | 'openTasks' | 'deferredJobs') => void
  /** Number of queries that may wait for the next phase of a job; further ones are answered at once. */
  maxWaitingQueries?: number
  /** Called for each of these. */
  onTooManyQueries?: () => void
}

/** Decides which task runs on which worker, for as long as this node holds the term. */
export class Decider {
  readonly registry: Registry
  readonly openJobs: OpenJobs
  private readonly recorder: Recorder
  private readonly leases: WorkerLeases
  private readonly poller: WorkerPoller
  private readonly lifecycle: TaskLifecycle
  private readonly crashes: CrashLedger
  private readonly adviceScheduler = new AdviceScheduler()
  private readonly phaseWaiters: PhaseWaiters
  private readonly advisor: StepAdvisor
  /** Steps that are ready and are not placed. */
  readonly waits: WaitMonitor
  private readonly routes = new Map<string, Route>()
  private readonly speeds = new WorkerSpeeds()
  private readonly organisations: OrganisationTable
  private readonly organisationMonitor: OrganisationMonitor
  private lastConfiguration: Configuration | undefined
  /** Callbacks that run once the next record of a job is written, by id of the job. */
  private readonly pendingCallbacks = new Map<string, Array<() => void>>()
  /** Callbacks that run once the commit in flight is done, by id of the job. */
  private readonly committingCallbacks = new Map<string, Array<() => void>>()
  /** Phases that the commit in flight records, by id of the job. */
  private readonly committingPhases = new Map<string, JobPhase>()
  private readonly submissionFeed: SubmissionFeed
  private readonly instanceFeed: InstanceFeed
  private readonly archiver: JobArchiver
  /** Ids of archived jobs whose records can be deleted. */
  private readonly deletableRecords = new Set<string>()
  /** Capacity that the last round of planning holds for gangs. */
  private holds = new Map<StepState, GangHold>()
  /** Number of runs stopped for more urgent work in this term, by priority and organisation of their jobs, as in `2 name`. */
  readonly preemptions = new Map<string, number>()
  private readonly backlogMeter: BacklogMeter
  private readonly startOrders: ConcurrencyLimit
  private readonly startFlow: StartFlow
  /** Whether the last round has left out tasks that have room, because too many starts were not answered. */
  private areStartsLimited = false
  private readonly timers: Timer[] = []
  private readonly rankingTime: LatencyHistogram
  private readonly planningTime: LatencyHistogram
  private readonly placementTime: LatencyHistogram
  private hasUnevenSpeeds = false
  private isRoundScheduled = false
  /** Monotonic ms before which no round starts. */
  private nextRoundAt = 0
  /** Duration of the last round in ms. */
  private roundDuration = 0
  /** Monotonic ms of the last explanation of a job. */
  private explainedAt = -Infinity
  private isStopped = false
  private isPaused = false
  /** Monotonic ms at which the term was last offered to a follower. */
  private offeredAt = -Infinity
  /** Whether the records have been read. */
  isReady = false

  constructor (private readonly options: DeciderOptions) {
    const { store, clock, log, metrics, term, workers } = options
    this.rankingTime = metrics.timer('round_part', { part: 'rank' })
    this.planningTime = metrics.timer('round_part', { part: 'plan' })
    this.placementTime = metrics.timer('round_part', { part: 'place' })
    this.registry = new Registry(new TaskCounter(options.maxOpenTasks))
    this.organisations = new OrganisationTable(this.registry)
    this.backlogMeter = new BacklogMeter(this.registry)
    this.startFlow = new StartFlow({ clock, most: options.maxStartOrders ?? Infinity })
    this.startOrders = new ConcurrencyLimit(() => this.startFlow.size)
    this.openJobs = new OpenJobs({
      store,
      clock,
      log,
      limit: options.openJobLimit ?? (() => Infinity),
      maxDeferred: options.maxDeferred,
      onLimit: options.onOpenWorkLimit,
      onLoaded: ({ isBeyondRate }, { recorded, stored, isCancelled }) => {
        this.restoreJob(recorded, { stored, isBeyondRate, startedAt: clock.now() })
        this.poller.handleLoaded(recorded.job.id)
        if (isCancelled) this.cancel(recorded.job.id)
      },
      rescan: async () => { await this.findDroppedJobs() }
    })
    this.phaseWaiters = new PhaseWaiters(clock, { maxWaiting: options.maxWaitingQueries, onFull: options.onTooManyQueries })
    this.waits = new WaitMonitor({ clock, log })
    this.organisationMonitor = new OrganisationMonitor({ clock, log })
    this.recorder = new Recorder({
      store, clock, log, metrics, term, version: options.termRowVersion, encode: key => this.encode(key), callbacks: { onRecorded: keys => { this.handleRecorded(keys) }, onRejected: key => { this.handleRejected(key) }, onTermLost: ({ term: next }) => { this.loseTerm(next?.node) } }
    })
    this.crashes = new CrashLedger({ log, clock, registry: this.registry, onChange: task => { this.lifecycle.handleCrashes(task) } })
    this.leases = new WorkerLeases(options)
    const recordSoon = ({ job }: JobState): void => { this.recorder.markDirtySoon(job.id) }
    this.poller = new WorkerPoller({
      crashes: this.crashes, registry: this.registry, workers, clock, log, fence: term.fence, leases: this.leases, speeds: this.speeds, recordSoon, recordTask: (task, then) => { this.record(task.step.occurrence.job, then) }, loadDeferred: id => this.openJobs.loadNow(id), canRenewLeases: () => this.canRenewLeases(), onChange: () => { this.requestRound() }, onNewerTerm: () => { this.loseTerm(undefined) }
    })
    this.lifecycle = new TaskLifecycle({
      registry: this.registry,
      clock,
      log,
      record: (job, then) => { this.record(job, then) },
      recordSoon,
      sendStart: (task, ticket) => { detach(this.startOrders.run(async () => { await this.sendStart(task, ticket) }), log, 'order') },
      findStartObstacle: (task, needsTicket) => this.isInstanceListOutdated() ? 'the instance list is outdated' : findStartObstacle(task, { now: clock.now(), needsTicket }),
      prepareStart: worker => { this.poller.prepareStart(worker) },
      describeLease: worker => this.leases.describe(worker),
      sendStop: task => { detach(this.poller.stopRun(task), log, 'stop') },
      maxAttempts: job => findScheduledRoute(job.job, name => this.routes.get(name))?.maxAttempts ?? 1,
      onChange: () => { this.requestRound() }
    })
    this.poller.setLifecycle(this.lifecycle)
    this.advisor = new StepAdvisor({ scheduler: this.adviceScheduler, clock, log, ask: options.askAdvice, onChange: () => { this.requestRound() } })
    this.archiver = new JobArchiver({
      store,
      clock,
      log,
      onArchived: ids => {
        for (const id of ids) {
          this.deletableRecords.add(id)
          this.recorder.markDirty(id)
        }
      }
    })
    this.submissionFeed = new SubmissionFeed({ store, clock, log, onJob: recorded => { this.addJob(recorded, 'feed') }, onCancel: id => { this.cancel(id) } })
    this.instanceFeed = new InstanceFeed({ store, reader: options.reader, clock, log, onListed: report => { this.handleListed(report) }, onGone: id => { this.handleGone(id) } })
  }

  /** Reads the records, then starts to decide. */
  async start (): Promise<void> {
    const { clock, log, term, store } = this.options
    const startedAt = clock.now()
    this.timers.push(clock.repeat(IDLE_COMMIT_INTERVAL_MS, () => { this.recorder.commitSoon() }), clock.repeat(ROUND_INTERVAL_MS, () => { this.requestRound() }), clock.repeat(WAIT_CHECK_INTERVAL_MS, () => { this.checkWaits() }), clock.repeat(SPEED_UPDATE_INTERVAL_MS, () => { this.updateSpeeds() }))
    this.updateRoutes()
    const recovery = new Recovery({ store, clock, log, room: this.openJobs.room, priorityOf: ({ job }) => this.priorityOf(job), onDeferred: job => { this.openJobs.defer(job) } })
    const [recovered] = await Promise.all([recovery.read(() => this.isStopped), this.instanceFeed.start(() => this.isStopped)])
    if (recovered === undefined || this.isStopped) return
    for (const [id, phase] of recovered.ended) {
      this.registry.archive(id, { phase, at: startedAt, version: recovered.version })
      this.archiver.add(id, phase)
    }
    let assumed = 0
    const announced = [...this.registry.jobs.values()]
    const beyondRate = this.organisations.restoreRates([...announced.map(({ job }) => job), ...recovered.metered.values()], store.now())
    for (const state of announced) state.isBeyondRate = beyondRate.has(state.job.id)
    for (const { recorded, stored } of recovered.jobs) runLogged(() => { assumed += this.restoreJob(recorded, { stored, isBeyondRate: beyondRate.has(recorded.job.id), startedAt }) }, log, 'recovery of a job')
    this.openJobs.markBeyondRate(beyondRate)
    for (const worker of this.registry.workers.values()) this.leases.assumeFormerOrders(worker, startedAt)
    for (const id of recovered.cancelled) this.cancel(id)
    this.submissionFeed.start(recovered.version, () => this.isStopped)
    this.archiver.start(() => this.isStopped)
    this.isReady = true
    this.openJobs.start()
    log.write(CELL_EVENTS.termRecovered, { fence: term.fence, jobs: recovered.jobs.length, deferred: this.openJobs.waiting, assumed, duration: Math.round(clock.now() - startedAt) })
    for (const worker of this.registry.workers.values()) this.poller.startPolling(worker)
    this.requestRound()
  }

  /** @returns number of the job's recorded runs that are not known to have ended */
  private restoreJob (recorded: RecordedJob, { stored, isBeyondRate, startedAt }: { stored: StoredRecord | undefined, isBeyondRate: boolean, startedAt: number }): number {
    const state = this.addJob(recorded, 'record')
    if (state === undefined) return 0
    state.isBeyondRate = isBeyondRate
    if (stored === undefined) return 0
    state.recordLength = stored.length
    this.recorder.notePages(state.job.id, stored.pages)
    const runs = this.assignRecordedRuns(applyRecord(this.registry, state, stored.record), startedAt)
    this.restoreCrashes(state)
    return runs
  }

  /** Reads the store again for accepted jobs that are not known. */
  private async findDroppedJobs (): Promise<void> {
    const recovery = new Recovery({
      ...this.options,
      room: 0,
      priorityOf: ({ job }) => this.priorityOf(job),
      isKnown: id => this.registry.jobs.has(id) || this.registry.endedJobs.has(id) || this.openJobs.isDeferred(id),
      onDeferred: job => { this.openJobs.defer(job) }
    })
    await recovery.read(() => this.isStopped)
  }

  private priorityOf (job: Job): number {
    return findScheduledRoute(job, name => this.routes.get(name))?.priority ?? 0
  }

  /** Stops deciding, without waiting for orders in flight. */
  stop (): void {
    this.isStopped = true
    this.openJobs.stop()
    for (const timer of this.timers) timer.cancel()
    this.recorder.stop()
    this.poller.stop()
  }

  /** Commits immediately, which shows whether this node still holds the term. */
  confirmTerm (): void {
    this.recorder.commitSoon()
  }

  /** Records that the term was offered to a follower, which may hold it from now on. */
  noteOffer (): void {
    this.offeredAt = this.options.clock.now()
  }

  /** Stops placing tasks, before a hand-over. */
  pausePlacement (): void {
    this.isPaused = true
  }

  /** @returns monotonic ms at which the last successful commit was sent */
  get confirmedAt (): number {
    return this.recorder.confirmedAt
  }

  /** @returns number of orders to start that may be in flight */
  get startsAllowed (): number {
    return this.startFlow.size
  }

  /** @returns longest time in ms between two recent confirmations of the term, or since the last one */
  get confirmationInterval (): number {
    return this.recorder.confirmationInterval
  }

  /** @returns number of tasks given up in this term because they crash their workers */
  get tasksGivenUp (): number {
    return this.lifecycle.tasksGivenUp
  }

  /** @returns what an organisation has running and waiting, for metrics */
  organisationStatus (name: string): OrganisationStatus {
    return this.organisations.statusOf(name, this.registry.workers.values())
  }

  /** @returns lowest and highest speed that planning expects of a worker, and the spread of the learned speeds */
  get workerSpeeds (): { lowest: number, highest: number, spread: number } {
    const speeds = [...this.registry.workers.values()].map(({ speed }) => speed)
    return speeds.length === 0 ? { lowest: 1, highest: 1, spread: 0 } : { lowest: Math.min(...speeds), highest: Math.max(...speeds), spread: this.speeds.spread }
  }

  /** @returns number of jobs whose records the store doesn't accept */
  get rejectedRecords (): number {
    return this.recorder.rejectedRecords
  }

  /** @returns characters of the longest record of an open job, as it was last written */
  get longestRecord (): number {
    let longest = 0
    for (const { recordLength } of this.registry.jobs.values()) longest = Math.max(longest, recordLength)
    return longest
  }

  /** @returns number of transactions committed in this term */
  get commits (): number {
    return this.recorder.commits
  }

  /**
   * Adds a job, unless it is known already or has ended.
   *
   * @param recorded - the job
   * @param source - where the job comes from
   * @returns the job's state, or `undefined` if the job has ended or waits in the store
   */
  addJob (recorded: RecordedJob, source: JobSource): JobState | undefined {
    const { job, version } = recorded
    if (this.registry.endedJobs.has(job.id)) return undefined
    const existing = this.registry.jobs.get(job.id)
    if (existing !== undefined) return existing
    if (source !== 'record' && this.openJobs.isDeferred(job.id)) return undefined
    const { clock, store, log } = this.options
    if (source !== 'record' && this.hasEnded(recorded)) {
      log.write(CELL_EVENTS.announcementOutdated, { job: job.id, source, version, known: this.submissionFeed.version })
      return undefined
    }
    const age = store.now() === 0 ? 0 : Math.max(0, store.now() - job.acceptedAt)
    if (source !== 'record') log.write(CELL_EVENTS.jobKnown, { job: job.id, source, version, known: this.submissionFeed.version })
    this.updateRoutes()
    if (findScheduledRoute(job, name => this.routes.get(name)) === undefined) log.write(CELL_EVENTS.routeUnknown, { job: job.id, route: job.route })
    const isBeyondRate = source !== 'record' && this.organisations.isBeyondRate(job, store.now())
    if (source !== 'record' && this.openJobs.mustDefer(job, this.priorityOf(job))) {
      this.openJobs.defer({ ...weighJob(job), id: job.id, route: job.route, isStarted: false, priority: this.priorityOf(job), isBeyondRate })
      return undefined
    }
    const state = this.registry.addJob(job, { now: clock.now(), age, wall: clock.wall() })
    this.openJobs.hold(job)
    state.isBeyondRate = isBeyondRate
    if (state.isBeyondRate) this.organisationMonitor.noteBeyondRate(job.organisation!)
    this.requestRound()
    return state
  }

  /**
   * An announcement may arrive after its job was archived, even by a former decider. All jobs on record by the version up to which submissions
   * were read are known until they end, so that an unknown one of them has ended.
   */
  private hasEnded ({ version }: RecordedJob): boolean {
    return version <= this.submissionFeed.version
  }

  /** Cancels a job, if it is known. The cancellation must be on record. */
  cancel (id: string): void {
    const state = this.registry.jobs.get(id)
    if (state !== undefined) this.lifecycle.endJob(state, 'cancelled')
    else this.openJobs.cancel(id)
  }

  /** Answers a query from the decider's state; a query for a job that is about to end waits a moment for its end. */
  async answer (question: Question): Promise<Answer> {
    if (question.about === 'queue') return { about: 'queue', waiting: this.registry.countWaiting(question.route) + this.openJobs.countWaiting(question.route) }
    if (question.about === 'explanation') return this.explain(question.query)
    const { id } = question
    const job = this.registry.jobs.get(id)
    if (job !== undefined) {
      await this.phaseWaiters.wait(job, this.isPhaseUncertain(job))
      // Callers may have been told of a record whose commit got no answer, or of what another decider has done since. The store tells which phase is true.
      if (this.isPhaseUncertain(job)) return { about: 'job', phase: 'unknown' }
      if (this.mayBeDeposed()) return { about: 'job', phase: 'unknown', ...(this.options.isStoreLostForAll() ? { assumed: job.visiblePhase } : {}) }
    }
    return { about: 'job', phase: this.registry.jobs.get(id)?.visiblePhase ?? this.registry.endedJobs.get(id)?.phase ?? 'unknown' }
  }

  /** Explains where a job would go now, without any change of state. */
  private explain (query: ExplainQuery): Answer {
    const now = this.options.clock.now()
    if (now - this.explainedAt < EXPLANATION_INTERVAL_MS) return { about: 'explanation', problem: 'busy' }
    this.explainedAt = now
    const { registry, organisations, holds } = this
    const configuration = this.options.configuration()
    return { about: 'explanation', explanation: explainJob(query, { registry, organisations, holds, now, configuration, routeOf: name => this.routes.get(name), usable: this.usableWorkers(now), isolated: isolatedWorkers(registry, now) }) }
  }

  /** @returns whether another node may hold the term: it was offered, or not confirmed for a while */
  private mayBeDeposed (): boolean {
    const { confirmedAt } = this.recorder
    return confirmedAt <= this.offeredAt || this.options.clock.now() - confirmedAt > MAX_ANSWER_AGE_MS
  }

  /** @returns whether a commit in flight may have recorded another phase than the visible one */
  private isPhaseUncertain ({ job, visiblePhase }: JobState): boolean {
    const committing = this.committingPhases.get(job.id)
    return committing !== undefined && committing !== visiblePhase
  }

  /** Schedules a round of planning, unless one is scheduled already. */
  requestRound (): void {
    if (this.isRoundScheduled || this.isStopped) return
    this.isRoundScheduled = true
    this.options.clock.schedule(Math.max(ROUND_DELAY_MS, this.nextRoundAt - this.options.clock.now()), () => {
      this.isRoundScheduled = false
      if (this.isStopped) return
      const startedAt = this.options.clock.now()
      runLogged(() => { this.plan() }, this.options.log, 'round of planning')
      const now = this.options.clock.now()
      this.roundDuration = now - startedAt
      this.nextRoundAt = now + ROUND_PAUSE_RATIO * this.roundDuration
    })
  }

  private plan (): void {
    const { clock } = this.options
    const now = clock.now()
    if (!this.isReady || this.isPaused || now - this.recorder.confirmedAt > MAX_COMMIT_AGE_MS || this.isInstanceListOutdated()) return
    this.updateRoutes()
    this.registry.openDueOccurrences(now)
    if (this.registry.tasks.room === 0) this.options.onOpenWorkLimit?.('openTasks')
    if (this.registry.readySteps.size === 0) {
      this.backlogMeter.addRound([], [], now)
      return
    }
    const starts = this.startFlow.startRound(this.registry.workers.values())
    if (starts.left < 1) return this.noteStartLimit({ isReached: true, workers: new Set() })
    const usable = this.usableWorkers(now)
    const workersOf = (service: string): WorkerState[] => usable.get(service) ?? []
    const rankedFrom = clock.now()
    const ranked = rankSteps(this.registry.readySteps, { routeOf: name => this.routes.get(name), now, arrange: this.organisations.startTurns(workersOf, now) })
    if (ranked.length === 0) {
      this.backlogMeter.addRound(ranked, [], now)
      return
    }
    const plannedFrom = clock.now()
    this.rankingTime.record(plannedFrom - rankedFrom)
    const adviceRound = this.adviceScheduler.startRound(this.options.advisorNodes(), now, (1 + ROUND_PAUSE_RATIO) * this.roundDuration)
    const preemption = this.startPreemption(now)
    const plan = planRound(ranked, { preemption, workersOf, now, adviceRound, allowedShare: route => this.adviceScheduler.allowedShare(route), holds: this.holds, priorityOf: route => this.routes.get(route)?.priority ?? 0, capBudgetOf: this.organisations.startRound(), starts })
    this.noteStartLimit(plan.startLimit)
    this.holds = plan.holds
    const placedFrom = clock.now()
    this.planningTime.record(placedFrom - plannedFrom)
    this.lifecycle.place(plan.placements)
    this.placementTime.record(clock.now() - placedFrom)
    this.backlogMeter.addRound(ranked, plan.placements, now)
    for (const preemption of plan.preemptions) this.preempt(preemption)
    for (const request of plan.adviceRequests) detach(this.advisor.advise(request), this.options.log, 'advice')
  }

  private noteStartLimit ({ isReached, workers }: RoundPlan['startLimit']): void {
    if (isReached) this.startFlow.noteLimit()
    for (const worker of workers) this.startFlow.noteLimit(worker)
    this.areStartsLimited = isReached || workers.size > 0
  }

  /** @returns what finds runs to stop for more urgent work in one round, if that is enabled */
  private startPreemption (now: number): PreemptionRound | undefined {
    if (!this.options.preempts && !this.hasOrganisations) return undefined
    return new PreemptionRound({ now, leastUrgent: this.leastUrgent, routeOf: job => findScheduledRoute(job, name => this.routes.get(name)), workers: this.registry.workers.values() })
  }

  /** @returns the work that waits, if nodes may refuse more of it and enough was measured */
  get backlog (): BacklogReport | undefined {
    if (!this.isReady || (!this.options.refuses && !this.hasOrganisations)) return undefined
    return this.backlogMeter.report({ now: this.options.clock.now(), leastUrgent: this.leastUrgent })
  }

  /** @returns what the open jobs take, or `undefined` while that is little */
  get openJobReport (): OpenJobReport | undefined {
    return this.isReady ? this.openJobs.report() : undefined
  }

  /** @returns the least urgent priority of the known routes */
  private get leastUrgent (): number {
    return Math.max(0, ...[...this.routes.values()].map(route => route.priority))
  }

  private preempt (preemption: Preemption): void {
    this.lifecycle.preempt(preemption)
    const { job } = preemption.victim.step.occurrence
    const priority = this.routes.get(job.job.route)?.priority ?? 0
    const key = `${priority} ${job.job.organisation ?? ''}`
    this.preemptions.set(key, (this.preemptions.get(key) ?? 0) + 1)
  }

  /** @returns the workers on which tasks may be placed, by service */
  private usableWorkers (now: number): Map<string, WorkerState[]> {
    const usable = new Map<string, WorkerState[]>()
    const isolated = isolatedWorkers(this.registry, now)
    for (const worker of this.registry.workers.values()) if (isUsable(worker, now) && !isolated.has(worker)) push(usable, worker.report.service, worker)
    return usable
  }

  private get hasOrganisations (): boolean {
    return (this.lastConfiguration?.organisations ?? []).length > 0
  }

  private updateSpeeds (): void {
    const isUneven = updateSpeeds(this.speeds, this.registry.workers.values(), this.hasOrganisations ? undefined : STRONGLY_UNEVEN_SPREAD)
    if (isUneven === this.hasUnevenSpeeds) return
    this.hasUnevenSpeeds = isUneven
    this.options.log.write(CELL_EVENTS.speedsJudged, { uneven: isUneven, spread: Number(this.speeds.spread.toFixed(3)), classes: countSpeedClasses(this.registry.workers.values()) })
  }

  private checkWaits (): void {
    if (!this.isReady) return
    this.openJobs.startLoading()
    const now = this.options.clock.now()
    const usable = this.usableWorkers(now)
    const capBudgetOf = this.organisations.startRound()
    this.organisationMonitor.check(this.registry.readySteps, capBudgetOf)
    this.waits.check(this.registry.readySteps, step => {
      const route = findScheduledRoute(step.occurrence.job.job, name => this.routes.get(name))
      return { route, workers: usable.get(route?.service ?? '') ?? [], holds: this.holds, now, capBudget: capBudgetOf(step.occurrence.job.job) }
    })
  }

  private isInstanceListOutdated (): boolean {
    return this.options.clock.now() - this.instanceFeed.confirmedAt > MAX_INSTANCE_LIST_AGE_MS
  }

  private async sendStart (task: Task, ticket?: string): Promise<void> {
    const { worker, run } = task
    if (worker === undefined || this.isStopped) return
    const isProven = await this.poller.proveClock(worker)
    if (this.isStopped || task.phase !== 'ordered' || task.run !== run || task.worker !== worker) return
    if (!isProven) return this.lifecycle.cancelStart(task, 'the worker does not answer')
    const { generation } = worker
    const sentAt = this.options.clock.now()
    const leaseEnd = this.leases.extend(worker, 'start')
    task.sentRun = run
    task.orderSentAt = sentAt
    const outcome = await this.options.workers.start(worker.report, {
      task: task.name, run, spec: task.step.occurrence.job.job.spec, leaseEnd, fence: this.poller.fenceOf(worker), checkpoint: task.checkpoint, ticket: ticket === undefined ? undefined : task.step.tickets.get(worker.report.id)?.text ?? ticket
    })
    if (outcome.kind !== 'unknown') this.leases.settle(worker, sentAt)
    this.startFlow.noteOutcome(worker, sentAt, outcome.kind !== 'unknown')
    if (this.areStartsLimited) this.requestRound()
    if (this.isStopped) return
    if (outcome.kind === 'refused' && outcome.reason === 'fence' && generation === worker.generation) return this.loseTerm(undefined)
    if (outcome.kind === 'taken') {
      this.leases.confirm(worker, leaseEnd, outcome.clock)
      this.poller.noteClock(worker, outcome.clock)
    }
    this.lifecycle.handleStartOutcome(task, run, worker, outcome)
    // Until now the worker may have been idle and polled rarely; polling it now makes the end of the run known immediately.
    this.poller.pollNow(worker)
  }

  /** Without the store's confirmation, the term may be lost, so leases are renewed only if no other node can have claimed it. */
  private canRenewLeases (): boolean {
    return this.options.clock.now() - this.recorder.confirmedAt < CONFIRMATION_WINDOW_MS || this.options.isStoreLostForAll()
  }

  /**
   * Assigns the recorded runs to their workers until the workers list them.
   *
   * @param runs - runs that are not known to have ended
   * @param startedAt - monotonic ms at which this term started
   * @returns number of runs
   */
  private assignRecordedRuns (runs: RecordedRun[], startedAt: number): number {
    for (const { task, worker: id, leaseLeft } of runs) {
      const worker = this.registry.workers.get(id) ?? this.addUnlistedWorker(id)
      task.phase = 'assumed'
      this.registry.assign(task, worker)
      this.registry.updateReadySteps(task.step.occurrence)
      const isFormer = worker.report.born > 0 && task.incarnation > 0 && incarnationTag(worker.report.born) !== task.incarnation
      // A run that had begun ended with the former incarnation; the order to start another one may still reach the present one.
      const isRestarted = isFormer && task.begunRun !== task.run
      this.leases.assumeFormerTerm(worker, startedAt, { leaseLeft, isRestarted })
    }
    return runs.length
  }

  /** Adds a worker that occurs only in the records; it is kept until its leases have expired. */
  private addUnlistedWorker (id: string): WorkerState {
    const worker = this.registry.ensureWorker({ id, service: '', address: '', dataCentre: '', state: 'draining', capacity: { cpu: 0, memory: 0, accelerators: 0 }, labels: [], born: 0 })
    worker.isListed = false
    return worker
  }

  private restoreCrashes ({ occurrences }: JobState): void {
    for (const task of occurrences.flatMap(({ steps }) => steps.flatMap(({ tasks }) => [...tasks.touched()]))) {
      if (task.crashes.length === 0) continue
      this.crashes.restore(task)
      this.registry.updateSuspicion(task)
    }
  }

  private handleListed (report: WorkerReport): void {
    this.crashes.noteListed(report)
    const isNew = !this.registry.workers.has(report.id)
    const worker = this.registry.ensureWorker(report)
    const { born } = worker.report
    this.poller.noteListed(worker, report.born)
    if (report.state === 'draining') worker.leavingIncarnation = incarnationTag(report.born === 0 ? born : report.born)
    // The next poll updates the incarnation and handles the runs of the former one.
    worker.report = { ...report, born }
    worker.describedIncarnation = report.born
    worker.isListed = true
    // Until a list of the new incarnation arrives, nothing is placed on the worker.
    if (report.born > born && born > 0) this.poller.pollNow(worker)
    if (isNew && this.isReady) this.poller.startPolling(worker)
    this.requestRound()
  }

  private handleGone (id: string): void {
    const worker = this.registry.workers.get(id)
    this.crashes.noteGone(id, worker !== undefined && worker.report.state === 'draining')
    if (worker === undefined) return
    worker.isListed = false
    worker.report = { ...worker.report, state: 'draining' }
    this.registry.endPresence(worker)
  }

  private updateRoutes (): void {
    const configuration = this.options.configuration()
    if (configuration === this.lastConfiguration) return
    this.lastConfiguration = configuration
    // Jobs of a removed route continue with the route's last definition, as far as this decider knows it, or with the terms stored with them.
    for (const route of configuration?.routes ?? []) this.routes.set(route.name, route)
    this.organisations.update(configuration?.organisations ?? [])
  }

  private record (job: JobState, then?: () => void): void {
    if (then !== undefined) push(this.pendingCallbacks, job.job.id, then)
    this.recorder.markDirty(job.job.id)
  }

  /**
   * Encodes a job's record for a commit that is sent now. The job's pending callbacks then wait for this commit.
   *
   * @returns the change of the record, or `null` to leave it unchanged
   */
  private encode (key: string): RecordChange | null {
    // Callbacks that still wait for an earlier commit whose handling has failed.
    const waiting = this.committingCallbacks.get(key) ?? []
    this.committingCallbacks.set(key, [...waiting, ...this.pendingCallbacks.get(key) ?? []])
    this.pendingCallbacks.delete(key)
    const state = this.registry.jobs.get(key)
    if (state !== undefined) {
      this.committingPhases.set(key, recordedPhase(state))
      const value = encodeJobRecord(state, this.options.clock.now())
      state.recordLength = value.length
      return { kind: 'put', value }
    }
    return this.deletableRecords.has(key) ? { kind: 'delete' } : null
  }

  private handleRecorded (keys: string[]): void {
    for (const key of keys) {
      const actions = this.committingCallbacks.get(key) ?? []
      this.committingCallbacks.delete(key)
      this.committingPhases.delete(key)
      this.deletableRecords.delete(key)
      const state = this.registry.jobs.get(key)
      if (state !== undefined) state.isRecordRejected = false
      const phaseBefore = state?.visiblePhase
      for (const action of actions) runLogged(action, this.options.log, 'recorded change')
      if (state?.visiblePhase !== phaseBefore) this.phaseWaiters.release(key)
      this.archiveEnded(key)
    }
    this.pruneEnded()
  }

  /** Handles that the store doesn't accept a job's record. Until it does, nothing of the job is placed: a run must be on record before it starts. */
  private handleRejected (key: string): void {
    const state = this.registry.jobs.get(key)
    if (state === undefined) return
    state.isRecordRejected = true
    for (const { steps } of state.occurrences) {
      for (const { tasks } of steps) {
        for (const task of tasks.touched()) if (task.phase === 'placed') this.lifecycle.cancelStart(task, 'the store rejects the record of the job')
      }
    }
  }

  private archiveEnded (id: string): void {
    const state = this.registry.jobs.get(id)
    if (state === undefined || state.phase === 'open' || state.visiblePhase !== state.phase || hasRuns(state) || this.pendingCallbacks.has(id)) return
    this.registry.archive(id, { phase: state.phase, at: this.options.clock.now(), version: this.recorder.version, holder: weighJob(state.job).holder })
    this.openJobs.noteEnd(state.job)
    this.archiver.add(id, state.phase)
  }

  private pruneEnded (): void {
    const limit = this.options.clock.now() - this.options.retention
    for (const [id, { at, version, holder }] of this.registry.endedJobs) {
      // The feed may still pass on a job that it has not read yet.
      if (at > limit || version > this.submissionFeed.version) return
      this.registry.endedJobs.delete(id)
      if (holder !== undefined) this.openJobs.forgetEnded(holder)
    }
  }

  private loseTerm (successor: string | undefined): void {
    if (this.isStopped) return
    this.stop()
    this.options.log.write(CELL_EVENTS.termLost, { fence: this.options.term.fence, successor })
    this.options.onTermLost(successor)
  }
}

function push<Key, Value> (map: Map<Key, Value[]>, key: Key, value: Value): void {
  const list = map.get(key)
  if (list === undefined) map.set(key, [value])
  else list.push(value)
}
