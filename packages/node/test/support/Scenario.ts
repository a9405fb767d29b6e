import { Cluster } from './Cluster.js'
import type { ClusterOptions } from './Cluster.js'
import type { RequestPlan } from './CallerRequest.js'
import { findTaskBreaches } from './findTaskBreaches.js'

/** Milliseconds in which a cell starts. */
export const START_MS = 11_000

/** Milliseconds of work, in which faults strike. */
export const WORK_MS = 16_000

/** Milliseconds after the last fault within which all must be well again. */
export const RECOVERY_MS = 90_000

/** Milliseconds in which accepted rules are in force at every node while the table is up. */
const RULES_BOUND_MS = 2000

/** Mean milliseconds between two requests. */
const REQUEST_GAP_MS = 60

/** Requests in a hundred that run past the class's bound. */
const OVERLONG_PERCENT = 1

/** Mean milliseconds until a caller repeats a request with a key. */
const REPEAT_GAP_MS = 3000

/** Changes of the rules, and milliseconds between them, where many are wanted. */
const RULES_CHANGES = 8
const RULES_CHANGE_GAP_MS = 1300

/** Requests of a burst. */
const BURST = 150

/** Milliseconds that these run. */
const OVERLONG_MS = 7000

/** What a case gives. */
export interface CaseResult {
  breaches: string[]
  counts: ReturnType<Cluster['witness']['counts']>
}

/** The work of one case: requests of all kinds, jobs, changes of rules, a planned stop, a leaving worker. */
export class Scenario {
  readonly cluster: Cluster
  private working = false
  private rulesVersions: number[] = []
  private readonly newest = new Map<string, number>()

  /** @param options - see `Cluster` */
  constructor (options: ClusterOptions) {
    this.cluster = new Cluster(options)
  }

  /** Starts the cell. */
  async start (): Promise<void> {
    await this.cluster.run(START_MS)
    if (!this.cluster.isServed()) this.cluster.witness.breach('the cell did not come up')
  }

  /** Sends more requests at once than the cell can run soon. */
  burst (): void {
    for (let number = 0; number < BURST; number++) this.sendOne()
  }

  /** Does the work, with what operators and the platform do meanwhile. */
  async work (): Promise<void> {
    const { cluster } = this
    this.working = true
    this.sendSoon()
    this.submitJobs()
    await cluster.run(WORK_MS / 4)
    this.raceOperators()
    await cluster.run(WORK_MS / 4)
    cluster.startNode('n4')
    cluster.leave(cluster.workers[0]!)
    cluster.addWorker('w9')
    await cluster.run(WORK_MS / 4)
    this.drainOne()
    await cluster.run(WORK_MS / 4)
  }

  /** Ends the work, lets the cell recover, and looks whether all is well. */
  async finish (): Promise<CaseResult> {
    const { cluster } = this
    const { witness } = cluster
    await cluster.until(() => cluster.isServed(), RECOVERY_MS)
    if (!cluster.isServed()) witness.breach('not every worker has an owner again')
    this.working = false
    const isDone = (): boolean => this.areRequestsDone() && this.areJobsDone()
    if (!await cluster.until(isDone, RECOVERY_MS)) witness.breach(`work did not finish: ${this.describeOpen()}`)
    await this.checkRules()
    witness.close()
    const breaches = [...witness.breaches, ...findTaskBreaches(cluster)]
    return { breaches, counts: witness.counts() }
  }

  private sendSoon (): void {
    const { simulation, random } = this.cluster
    simulation.schedule(random.exponential(REQUEST_GAP_MS), () => {
      if (!this.working) return
      this.sendOne()
      this.watchRules()
      this.watchOwners()
      this.sendSoon()
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
    if (kind === 'keyed') this.repeatLater(plan)
  }

  private repeatLater (plan: RequestPlan): void {
    const { simulation, random } = this.cluster
    const repeats = random.integer(3)
    for (let repeat = 0; repeat < repeats; repeat++) {
      simulation.schedule(random.exponential(REPEAT_GAP_MS), () => { if (this.working) this.cluster.send(plan) })
    }
  }

  private submitJobs (): void {
    const task = { command: 'run 1500', resources: { slots: 1, cores: 1, memory: 32, accelerators: 0 } }
    const jobs = [
      { id: 'batch', kind: 'batch', class: 'renders', tasks: [task, task, task] },
      { id: 'gang', kind: 'gang', class: 'chorus', tasks: [task, task] },
      { id: 'cancelled', kind: 'batch', class: 'renders', tasks: [task, task] }
    ]
    for (const job of jobs) this.keepTrying(async process => (await process.member.jobs.submit(job)).isOk())
    this.cluster.simulation.schedule(3000, () => {
      this.keepTrying(async process => (await process.member.jobs.cancel('cancelled')).isOk())
    })
  }

  /** Repeats an operator's command at any node until one of them says yes. */
  private keepTrying (command: (process: Cluster['processes'][number]) => Promise<boolean>): void {
    const { simulation, random } = this.cluster
    const open = this.cluster.open()
    const again = (): void => { simulation.schedule(1000, () => { this.keepTrying(command) }) }
    if (open.length === 0) return again()
    const process = random.pick(open)
    let settled = false
    const settle = (ok: boolean): void => {
      if (settled) return
      settled = true
      if (!ok) again()
    }
    simulation.schedule(10_000, () => { settle(false) })
    command(process).then(settle, () => { settle(false) })
  }

  /** Lets operators change the rules again and again, so that nodes hear of them from each other. */
  changeRulesOften (): void {
    const { simulation, surroundings, random } = this.cluster
    for (let change = 1; change <= RULES_CHANGES; change++) {
      simulation.schedule(change * RULES_CHANGE_GAP_MS, () => {
        const open = this.cluster.open()
        if (open.length === 0) return
        const { configuration } = random.pick(open).member
        configuration.apply(`${surroundings.rules}# change ${change}\n`, null).catch(() => {})
      })
    }
  }

  private raceOperators (): void {
    const { cluster } = this
    const operators = cluster.open().slice(0, 2)
    operators.forEach((process, number) => {
      const { rules, member } = { rules: cluster.surroundings.rules, member: process.member }
      const base = member.configuration.version
      member.configuration.apply(`${rules}# operator ${number}\n`, base).then(applied => {
        if (applied.isOk()) this.rulesVersions.push(applied.value)
      }, () => {})
    })
  }

  private watchRules (): void {
    for (const process of this.cluster.processes) {
      const { version } = process.member.configuration
      const before = this.newest.get(process.incarnation) ?? 0
      if (version < before) this.cluster.witness.breach(`${process.incarnation} went back from rules ${before} to ${version}`)
      this.newest.set(process.incarnation, version)
    }
  }

  private drainOne (): void {
    const { cluster } = this
    const open = cluster.open().filter(process => !process.clock.isPaused)
    if (open.length < 2) return
    cluster.random.pick(open).drain().catch(() => {})
  }

  private async checkRules (): Promise<void> {
    const { cluster } = this
    const { witness } = cluster
    if (new Set(this.rulesVersions).size < this.rulesVersions.length) witness.breach('two operators were told that the same version is theirs')
    await cluster.run(RULES_BOUND_MS)
    const stored = cluster.surroundings.platform.table.peek('rules/')[0]?.version ?? 0
    for (const process of cluster.open()) {
      const { version } = process.member.configuration
      if (version !== stored) witness.breach(`${process.incarnation} follows rules ${version} and ${stored} are accepted`)
    }
    for (const version of this.rulesVersions) {
      if (version > stored) witness.breach(`rules ${version} were accepted and are lost`)
    }
  }

  private areRequestsDone (): boolean {
    return this.cluster.processes.every(process => !process.isUp || process.requests.size === 0)
  }

  private areJobsDone (): boolean {
    return this.openTasks().length === 0
  }

  private openTasks (): string[] {
    const rows = this.cluster.surroundings.platform.table.peek('task/')
    const open = rows.filter(row => !['done', 'cancelled', 'failed'].includes((JSON.parse(row.value) as { state: string }).state))
    const missing = ['batch', 'gang'].filter(id => !rows.some(row => row.key.startsWith(`task/${id}/`)))
    return [...open.map(row => `${row.key} ${row.value}`), ...missing]
  }

  private describeOpen (): string {
    const requests = this.cluster.processes.filter(process => process.isUp).reduce((sum, process) => sum + process.requests.size, 0)
    return `${requests} requests, ${this.openTasks().join(', ')}`
  }

  private watchOwners (): void {
    const up = this.cluster.processes.filter(process => process.isUp)
    for (const { id } of this.cluster.workers) {
      const owners = up.filter(process => process.member.ownership.canAdmit(`worker/${id}`))
      if (owners.length > 1) this.cluster.witness.breach(`${owners.map(owner => owner.incarnation).join(' and ')} both may fill ${id}`)
    }
  }
}
