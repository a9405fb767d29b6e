import { Cluster } from './Cluster.js'
import type { ClusterOptions } from './Cluster.js'
import type { RequestPlan } from './CallerRequest.js'
import { findTaskViolations } from './findTaskViolations.js'

/** Time in which a cell starts. */
export const START_MS = 11_000

/** Duration of the workload, during which faults are injected. */
export const WORK_MS = 16_000

/** Time within which the cell must recover after the workload. */
export const RECOVERY_MS = 90_000

/** Time within which accepted rules must be in force on every node while the table is up. */
const RULES_PROPAGATION_MS = 2000

/** Mean time between two requests. */
const REQUEST_GAP_MS = 60

/** Share of requests that run longer than the time limit of their class. */
const OVERLONG_PERCENT = 1

/** Mean time until a caller repeats a request with a key. */
const REPEAT_GAP_MS = 3000

/** Number of rules changes, and the time between them, in cases that need many. */
const RULES_CHANGES = 8
const RULES_CHANGE_GAP_MS = 1300

/** Number of requests in a burst. */
const BURST_REQUESTS = 150

/** Duration of a request that exceeds the time limit of its class. */
const OVERLONG_MS = 7000

/** Result of a case. */
export interface CaseResult {
  violations: string[]
  counts: ReturnType<Cluster['checker']['counts']>
}

/** Workload of one case: requests of all kinds, jobs, changes of rules, a planned stop and a leaving worker. */
export class Scenario {
  readonly cluster: Cluster
  private isWorking = false
  private acceptedVersions: number[] = []
  private readonly newestVersions = new Map<string, number>()

  /** @param options - options of the cluster */
  constructor (options: ClusterOptions) {
    this.cluster = new Cluster(options)
  }

  /** Starts the cell. */
  async start (): Promise<void> {
    await this.cluster.run(START_MS)
    if (!this.cluster.isServed()) this.cluster.checker.recordViolation('the cell did not start in time')
  }

  /** Sends more requests at once than the cell has capacity for. */
  sendBurst (): void {
    for (let number = 0; number < BURST_REQUESTS; number++) this.sendOne()
  }

  /** Runs the workload, together with the actions of operators and changes of the platform. */
  async runWorkload (): Promise<void> {
    const { cluster } = this
    this.isWorking = true
    this.scheduleNextRequest()
    this.submitJobs()
    await cluster.run(WORK_MS / 4)
    this.applyConflictingRules()
    await cluster.run(WORK_MS / 4)
    cluster.startNode('n4')
    cluster.leave(cluster.workers[0]!)
    cluster.addWorker('w9')
    await cluster.run(WORK_MS / 4)
    this.drainOneNode()
    await cluster.run(WORK_MS / 4)
  }

  /**
   * Lets the cell recover, ends the workload and checks the final state.
   *
   * @returns violations and counts
   */
  async recoverAndCheck (): Promise<CaseResult> {
    const { cluster } = this
    const { checker } = cluster
    await cluster.until(() => cluster.isServed(), RECOVERY_MS)
    if (!cluster.isServed()) checker.recordViolation('not every worker got an owner again in time')
    this.isWorking = false
    const isDone = (): boolean => this.areRequestsDone() && this.areJobsDone()
    if (!await cluster.until(isDone, RECOVERY_MS)) checker.recordViolation(`work did not finish in time: ${this.describeUnfinishedWork()}`)
    await this.checkFinalRules()
    checker.checkAllAnswered()
    const violations = [...checker.violations, ...findTaskViolations(cluster)]
    return { violations, counts: checker.counts() }
  }

  private scheduleNextRequest (): void {
    const { simulation, random } = this.cluster
    simulation.schedule(random.exponential(REQUEST_GAP_MS), () => {
      if (!this.isWorking) return
      this.sendOne()
      this.checkVersionsIncrease()
      this.checkSingleOwners()
      this.scheduleNextRequest()
    })
  }

  private sendOne (): void {
    const { cluster } = this
    const { random } = cluster
    const request = cluster.nextRequest()
    const kind = random.pick(['idempotent', 'once', 'keyed'] as const)
    const overlong = random.integer(100) < OVERLONG_PERCENT
    const plan: RequestPlan = {
      request,
      class: random.pick(['urgent', 'usual']),
      idempotent: kind === 'idempotent',
      key: kind === 'keyed' ? `key-${request}` : '',
      firstSent: random.next() < 0.5 ? 0 : 1_800_000_000_000 + cluster.simulation.time,
      duration: overlong ? OVERLONG_MS : 20 + random.exponential(60)
    }
    cluster.send(plan)
    if (kind === 'keyed') this.scheduleRepeats(plan)
  }

  private scheduleRepeats (plan: RequestPlan): void {
    const { simulation, random } = this.cluster
    const repeats = random.integer(3)
    for (let repeat = 0; repeat < repeats; repeat++) {
      simulation.schedule(random.exponential(REPEAT_GAP_MS), () => { if (this.isWorking) this.cluster.send(plan) })
    }
  }

  private submitJobs (): void {
    const task = { command: 'run 1500', resources: { slots: 1, cores: 1, memory: 32, accelerators: 0 } }
    const jobs = [
      { id: 'batch', kind: 'batch', class: 'renders', tasks: [task, task, task] },
      { id: 'gang', kind: 'gang', class: 'chorus', tasks: [task, task] },
      { id: 'cancelled', kind: 'batch', class: 'renders', tasks: [task, task] }
    ]
    for (const job of jobs) this.retryUntilAccepted(async process => (await process.member.jobs.submit(job)).isOk())
    this.cluster.simulation.schedule(3000, () => {
      this.retryUntilAccepted(async process => (await process.member.jobs.cancel('cancelled')).isOk())
    })
  }

  /** Repeats an operator's command on random nodes until one of them accepts it. */
  private retryUntilAccepted (command: (process: Cluster['processes'][number]) => Promise<boolean>): void {
    const { simulation, random } = this.cluster
    const open = this.cluster.openProcesses()
    const retry = (): void => { simulation.schedule(1000, () => { this.retryUntilAccepted(command) }) }
    if (open.length === 0) return retry()
    const process = random.pick(open)
    let settled = false
    const settle = (ok: boolean): void => {
      if (settled) return
      settled = true
      if (!ok) retry()
    }
    simulation.schedule(10_000, () => { settle(false) })
    command(process).then(settle, () => { settle(false) })
  }

  /** Changes the rules repeatedly, so that nodes learn of new versions from each other. */
  changeRulesOften (): void {
    const { simulation, environment, random } = this.cluster
    for (let change = 1; change <= RULES_CHANGES; change++) {
      simulation.schedule(change * RULES_CHANGE_GAP_MS, () => {
        const open = this.cluster.openProcesses()
        if (open.length === 0) return
        const { configuration } = random.pick(open).member
        configuration.apply(`${environment.rules}# change ${change}\n`, null).catch(() => {})
      })
    }
  }

  private applyConflictingRules (): void {
    const { cluster } = this
    const operators = cluster.openProcesses().slice(0, 2)
    operators.forEach((process, number) => {
      const { rules, member } = { rules: cluster.environment.rules, member: process.member }
      const base = member.configuration.version
      member.configuration.apply(`${rules}# operator ${number}\n`, base).then(applied => {
        if (applied.isOk()) this.acceptedVersions.push(applied.value)
      }, () => {})
    })
  }

  private checkVersionsIncrease (): void {
    for (const process of this.cluster.processes) {
      const { version } = process.member.configuration
      const before = this.newestVersions.get(process.incarnation) ?? 0
      if (version < before) this.cluster.checker.recordViolation(`${process.incarnation} went back from rules ${before} to ${version}`)
      this.newestVersions.set(process.incarnation, version)
    }
  }

  private drainOneNode (): void {
    const { cluster } = this
    const open = cluster.openProcesses().filter(process => !process.clock.isPaused)
    if (open.length < 2) return
    cluster.random.pick(open).drain().catch(() => {})
  }

  private async checkFinalRules (): Promise<void> {
    const { cluster } = this
    const { checker } = cluster
    if (new Set(this.acceptedVersions).size < this.acceptedVersions.length) checker.recordViolation('two operators were told that the same rules version was theirs')
    await cluster.run(RULES_PROPAGATION_MS)
    const stored = cluster.environment.platform.table.peek('rules/')[0]?.version ?? 0
    for (const process of cluster.openProcesses()) {
      const { version } = process.member.configuration
      if (version !== stored) checker.recordViolation(`${process.incarnation} follows rules ${version} although ${stored} are accepted`)
    }
    for (const version of this.acceptedVersions) {
      if (version > stored) checker.recordViolation(`rules ${version} were accepted but are lost`)
    }
  }

  private areRequestsDone (): boolean {
    return this.cluster.processes.every(process => !process.isUp || process.requests.size === 0)
  }

  private areJobsDone (): boolean {
    return this.listUnfinishedTasks().length === 0
  }

  private listUnfinishedTasks (): string[] {
    const rows = this.cluster.environment.platform.table.peek('task/')
    const open = rows.filter(row => !['done', 'cancelled', 'failed'].includes((JSON.parse(row.value) as { state: string }).state))
    const missing = ['batch', 'gang'].filter(id => !rows.some(row => row.key.startsWith(`task/${id}/`)))
    return [...open.map(row => `${row.key} ${row.value}`), ...missing]
  }

  private describeUnfinishedWork (): string {
    const requests = this.cluster.processes.filter(process => process.isUp).reduce((sum, process) => sum + process.requests.size, 0)
    return `${requests} requests, ${this.listUnfinishedTasks().join(', ')}`
  }

  private checkSingleOwners (): void {
    const up = this.cluster.processes.filter(process => process.isUp)
    for (const { id } of this.cluster.workers) {
      const owners = up.filter(process => process.member.ownership.canAdmit(`worker/${id}`))
      if (owners.length > 1) this.cluster.checker.recordViolation(`${owners.map(owner => owner.incarnation).join(' and ')} may both admit work to ${id}`)
    }
  }
}
