import { SeededRandom } from '@rattanstep/core'
import type { Ask, Load, Random } from '@rattanstep/core'
import { Admission, chooseOwner, RetryBudget } from '@rattanstep/policy'
import type { AdmissionOptions, Decision, GrantDecision, OwnerCandidate, PeerLoad, RefuseDecision } from '@rattanstep/policy'
import type { ResolvedClass } from '@rattanstep/rules'
import type { Work } from '../types/work.js'
import type { Machine } from './WorkerPool.js'
import { MESSAGE_DELAY_MS, Scheduler } from './Scheduler.js'
import type { SchedulerOptions } from './Scheduler.js'
import { TaskPlacer } from './TaskPlacer.js'
import type { TaskQueue } from './TaskPlacer.js'

/** Number of entry instances. */
const NODE_COUNT = 9

/** Interval between two ticks of a node. */
const TICK_MS = 20

/** Maximum number of owners to which an item is redirected. */
const MAX_REDIRECTS = 3

/** Time after which callers that ignore the retry hint send refused work again. */
const SHORT_RETURN_DELAY_MS = 100

/** When callers send refused work again: never, after the retry hint, or after a fixed short time. */
export type ReturnPolicy = 'never' | 'hint' | 'soon'

/** Options of a `PolicyScheduler`. */
export interface PolicyOptions extends SchedulerOptions {
  classes: ResolvedClass[]
  seed: number
  /** Interval in ms between heartbeats, which carry the load (default 500). */
  heartbeat?: number
  /** Fraction of its slots that is added to the weight of every owner; see `chooseOwner`. */
  turnover?: number
  admission?: Partial<AdmissionOptions>
  /** When callers send refused work again (default `never`). */
  returnPolicy?: ReturnPolicy
  /** Whether a front prefers the owner on its own node (default true). */
  prefersOwnNode?: boolean
  /** Names of the classes whose work runs as tasks (default none). */
  taskClasses?: ReadonlySet<string>
}

interface Node {
  name: string
  admission: Admission
  /** Newest known loads of all owners, including this node. */
  loadReports: Map<string, { load: Load, madeAt: number }>
  machines: Machine[]
  taskPlacer: TaskPlacer | null
  /** Number of asks that each owner has not answered. */
  outstanding: Map<string, number>
}

interface Attempt {
  work: Work
  front: Node
  ask: Ask
  owner: Node
  redirects: number
}

/** Runs the product's decision code on simulated entry instances, each of which is front and owner. */
export class PolicyScheduler extends Scheduler {
  readonly nodes: Node[] = []
  private readonly machines = new Map<string, Machine>()
  private readonly classes: Map<string, ResolvedClass>
  private readonly attempts = new Map<string, Attempt>()
  private readonly attemptByWork = new Map<Work, Attempt>()
  private readonly retryBudget = new RetryBudget()
  private readonly random: Random
  private readonly taskClasses: ReadonlySet<string>
  private readonly queue: TaskQueue = { waiting: [] }
  private readonly routingOptions: { turnover?: number }
  private readonly prefersOwnNode: boolean
  private readonly returnPolicy: ReturnPolicy
  private askCount = 0

  /** @param options - classes, seed, and settings of the decision code */
  constructor (options: PolicyOptions) {
    super(options)
    this.classes = new Map(options.classes.map(rule => [rule.name, rule]))
    this.random = new SeededRandom(options.seed + 1)
    this.taskClasses = options.taskClasses ?? new Set()
    this.prefersOwnNode = options.prefersOwnNode ?? true
    this.returnPolicy = options.returnPolicy ?? 'never'
    this.routingOptions = options.turnover === undefined ? {} : { turnover: options.turnover }
    for (let index = 0; index < NODE_COUNT; index++) this.nodes.push(this.createNode(index, options))
    this.pool.machines.forEach((machine, index) => { this.assign(machine, this.nodes[index % NODE_COUNT]!) })
    const heartbeat = options.heartbeat ?? 500
    for (const node of this.nodes) {
      this.publishLoad(node)
      this.clock.schedule(this.random.next() * heartbeat, () => { this.clock.repeat(heartbeat, () => { this.publishLoad(node) }) })
      this.clock.schedule(this.random.next() * TICK_MS, () => { this.clock.repeat(TICK_MS, () => { this.tick(node) }) })
    }
  }

  override submit (work: Work): void {
    if (this.taskClasses.has(work.class)) {
      this.queue.waiting.push(work)
      return
    }
    this.retryBudget.deposit(work.class, this.classes.get(work.class)!.retries)
    this.send(work, this.random.pick(this.nodes), { avoid: [], redirects: 0 })
  }

  override withdraw (work: Work): void {
    this.recorder.withdraw(work, this.clock.now())
    const attempt = this.attemptByWork.get(work)
    if (attempt !== undefined) this.forget(attempt)
    if (attempt !== undefined) this.cancel(attempt)
  }

  private createNode (index: number, options: PolicyOptions): Node {
    const name = `n${index}`
    const random = new SeededRandom(options.seed * 100 + index)
    const settings = { name, classes: options.classes, now: 0, random, preemptsTasks: this.taskClasses.size > 0, ...options.admission }
    const admission = new Admission(settings)
    const machines: Machine[] = []
    const preempts = settings.preemptsTasks
    const { clock, pool, recorder, queue, classes, taskClasses } = this
    const taskPlacer = this.taskClasses.size === 0 ? null : new TaskPlacer({ clock, pool, recorder, admission, machines, queue, classes, taskClasses, preempts })
    return { name, admission, loadReports: new Map(), machines, taskPlacer, outstanding: new Map() }
  }

  private assign (machine: Machine, owner: Node): void {
    this.machines.set(machine.id, machine)
    owner.machines.push(machine)
    const resources = { slots: machine.slots, cores: 16, memory: 65_536, accelerators: 0 }
    const place = { address: { host: '127.0.0.1', port: 1 }, connections: 60, dataCentre: 'dc', rack: 'rack' }
    owner.admission.addWorker({ id: machine.id, resources, ...place }, 0)
  }

  private publishLoad (node: Node): void {
    const now = this.clock.now()
    const load = node.admission.load(now)
    this.recorder.messages += NODE_COUNT - 1
    for (const other of this.nodes) {
      this.deliver(node, other, () => {
        other.loadReports.set(node.name, { load, madeAt: now })
      })
    }
  }

  private tick (node: Node): void {
    const now = this.clock.now()
    const peers: PeerLoad[] = []
    for (const [incarnation, { load, madeAt }] of node.loadReports) {
      if (incarnation !== node.name) peers.push({ incarnation, load, age: now - madeAt })
    }
    this.applyDecisions(node, node.admission.tick(now, peers))
    node.taskPlacer?.tick((id, ending) => { this.applyDecisions(node, node.admission.releaseHold(id, this.clock.now(), ending)) })
  }

  private deliver (from: Node, to: Node, callback: () => void): void {
    this.clock.schedule(from === to ? 0 : MESSAGE_DELAY_MS, callback)
  }

  private send (work: Work, front: Node, options: { avoid: string[], redirects: number, to?: string }): void {
    const owner = this.nodes.find(node => node.name === options.to) ?? this.chooseOwnerNode(work, front)
    const now = this.clock.now()
    const rule = this.classes.get(work.class)!
    const waited = now - work.arrival
    const ask: Ask = {
      id: `${this.askCount++}`,
      class: work.class,
      caller: work.caller,
      team: '',
      resources: { slots: 1, cores: 1, memory: 1024, accelerators: 0 },
      patience: Math.max(1, rule.patience - waited),
      waited,
      avoid: options.avoid
    }
    const attempt = { work, front, ask, owner, redirects: options.redirects }
    this.attempts.set(ask.id, attempt)
    this.attemptByWork.set(work, attempt)
    front.outstanding.set(owner.name, (front.outstanding.get(owner.name) ?? 0) + 1)
    this.sendMessage(front, owner, () => { this.applyDecisions(owner, owner.admission.ask(ask, front.name, this.clock.now())) })
  }

  private chooseOwnerNode (work: Work, front: Node): Node {
    const now = this.clock.now()
    const owners: OwnerCandidate[] = []
    for (const [incarnation, { load, madeAt }] of front.loadReports) {
      const isOwn = incarnation === front.name
      const newestLoad = isOwn ? front.admission.load(now) : load
      owners.push({ incarnation, load: newestLoad, age: isOwn ? 0 : now - madeAt, dataCentre: incarnation })
    }
    const priority = this.classes.get(work.class)!.priority
    const { outstanding } = front
    const choice = chooseOwner({ owners, priority, outstanding, random: this.random, ...this.routingOptions, ...(this.prefersOwnNode ? { self: front.name } : {}) })
    return this.nodes.find(node => node.name === choice?.owner) ?? front
  }

  private sendMessage (from: Node, to: Node, callback: () => void): void {
    if (from !== to) this.recorder.messages++
    this.deliver(from, to, callback)
  }

  private applyDecisions (owner: Node, decisions: Decision[]): void {
    for (const decision of decisions) {
      if (decision.kind === 'refuse' && decision.reason === 'cancelled') continue
      const front = this.nodes.find(node => node.name === decision.front)!
      if (decision.kind === 'grant') this.recorder.hold(1, this.clock.now())
      this.sendMessage(owner, front, () => {
        if (decision.kind === 'grant') this.start(owner, front, decision)
        else this.handleRefusal(decision)
      })
    }
  }

  private start (owner: Node, front: Node, grant: GrantDecision): void {
    const attempt = this.attempts.get(grant.ask.id)
    if (attempt === undefined) {
      this.recorder.hold(-1, this.clock.now())
      return
    }
    this.forget(attempt)
    this.clock.schedule(MESSAGE_DELAY_MS, () => { this.run(owner, front, grant, attempt) })
  }

  private run (owner: Node, front: Node, grant: GrantDecision, attempt: Attempt): void {
    const { work } = attempt
    if (work.state !== 'waiting') {
      this.clock.schedule(MESSAGE_DELAY_MS, () => { this.cancel(attempt) })
      this.recorder.hold(-1, this.clock.now())
      return
    }
    const startedAt = this.clock.now()
    this.recorder.hold(-1, startedAt)
    this.pool.run(work, this.machines.get(grant.worker)!, succeeded => {
      const serviceTime = this.clock.now() - startedAt
      this.recorder.hold(1, this.clock.now())
      this.clock.schedule(MESSAGE_DELAY_MS, () => { this.handleEnd(owner, front, grant, { attempt, succeeded, serviceTime }) })
    })
  }

  private handleEnd (owner: Node, front: Node, grant: GrantDecision, end: { attempt: Attempt, succeeded: boolean, serviceTime: number }): void {
    const { work, ask } = end.attempt
    const now = this.clock.now()
    if (!end.succeeded && this.retryBudget.tryWithdraw(work.class)) {
      this.recorder.retry(work, now)
      this.send(work, front, { avoid: [...ask.avoid, grant.worker], redirects: 0 })
    }
    const { permit, worker } = grant
    const ending = end.succeeded ? 'completed' : 'failed'
    this.sendMessage(front, owner, () => {
      const later = this.clock.now()
      this.recorder.hold(-1, later)
      if (work.state === 'withdrawn') this.applyDecisions(owner, owner.admission.cancel([ask.id], front.name, later))
      else this.applyDecisions(owner, owner.admission.release({ permit, worker, ending, serviceTime: end.serviceTime }, front.name, later))
    })
  }

  private handleRefusal (refusal: RefuseDecision): void {
    const attempt = this.attempts.get(refusal.ask.id)
    if (attempt === undefined) return
    this.forget(attempt)
    const { work, front, redirects, ask } = attempt
    if (refusal.redirect !== '' && redirects < MAX_REDIRECTS) {
      this.send(work, front, { avoid: ask.avoid, redirects: redirects + 1, to: refusal.redirect })
      return
    }
    this.recorder.refuse(work, this.clock.now())
    if (this.returnPolicy === 'never' || work.hasReturned) return
    const delay = this.returnPolicy === 'hint' ? refusal.retryAfter : SHORT_RETURN_DELAY_MS
    this.clock.schedule(delay, () => {
      this.recorder.recordReturn(work, this.clock.now())
      this.submit(work)
    })
  }

  private cancel (attempt: Attempt): void {
    const { front, owner, ask } = attempt
    this.sendMessage(front, owner, () => {
      this.applyDecisions(owner, owner.admission.cancel([ask.id], front.name, this.clock.now()))
    })
  }

  private forget (attempt: Attempt): void {
    this.attempts.delete(attempt.ask.id)
    const { front, owner } = attempt
    front.outstanding.set(owner.name, front.outstanding.get(owner.name)! - 1)
    this.attemptByWork.delete(attempt.work)
  }
}
