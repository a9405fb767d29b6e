import { SeededRandom } from '@rattanstep/core'
import type { Ask, Load, Random } from '@rattanstep/core'
import { Admission, chooseOwner, RetryBudget } from '@rattanstep/policy'
import type { AdmissionOptions, Decision, GrantDecision, OwnerCandidate, PeerLoad, RefuseDecision } from '@rattanstep/policy'
import type { ResolvedClass } from '@rattanstep/rules'
import type { Work } from '../types/work.js'
import type { Machine } from './Cell.js'
import { HOP, Scheduler } from './Scheduler.js'
import type { SchedulerOptions } from './Scheduler.js'
import { TaskFeeder } from './TaskFeeder.js'
import type { TaskQueue } from './TaskFeeder.js'

/** Entry instances. */
const NODES = 9

/** Milliseconds between two ticks of a node. */
const TICK = 20

/** Owners that one item is sent on to at most. */
const MOST_HOPS = 3

/** Milliseconds after which callers come back who do not look at the hint. */
const SOON = 100

/** When callers come back after a refusal. */
export type ComeBack = 'never' | 'hint' | 'soon'

/** What the decision code is tried with. */
export interface PolicyOptions extends SchedulerOptions {
  classes: ResolvedClass[]
  seed: number
  /** Milliseconds between heartbeats, which carry the load. */
  heartbeat?: number
  /** See `chooseOwner`. */
  turnover?: number
  admission?: Partial<AdmissionOptions>
  /** When callers come back after a refusal: not at all, after the hint, or after a fixed short time. */
  comeBack?: ComeBack
  /** Whether a front prefers its own node. */
  local?: boolean
  /** Classes whose work runs as tasks. */
  tasks?: ReadonlySet<string>
}

interface Node {
  name: string
  admission: Admission
  /** What the node knows of all owners, itself included. */
  views: Map<string, { load: Load, madeAt: number }>
  machines: Machine[]
  feeder: TaskFeeder | null
  /** Asks that an owner has not answered. */
  outstanding: Map<string, number>
}

interface Attempt {
  work: Work
  front: Node
  ask: Ask
  owner: Node
  hops: number
}

/** The decision code itself, on simulated entry instances that each are front and owner. */
export class PolicyScheduler extends Scheduler {
  readonly nodes: Node[] = []
  private readonly machines = new Map<string, Machine>()
  private readonly classes: Map<string, ResolvedClass>
  private readonly attempts = new Map<string, Attempt>()
  private readonly byWork = new Map<Work, Attempt>()
  private readonly budget = new RetryBudget()
  private readonly random: Random
  private readonly tasks: ReadonlySet<string>
  private readonly queue: TaskQueue = { waiting: [] }
  private readonly routing: { turnover?: number }
  private readonly local: boolean
  private readonly comeBack: ComeBack
  private count = 0

  /** @param options - rules, seed, and settings to try */
  constructor (options: PolicyOptions) {
    super(options)
    this.classes = new Map(options.classes.map(rule => [rule.name, rule]))
    this.random = new SeededRandom(options.seed + 1)
    this.tasks = options.tasks ?? new Set()
    this.local = options.local ?? true
    this.comeBack = options.comeBack ?? 'never'
    this.routing = options.turnover === undefined ? {} : { turnover: options.turnover }
    for (let index = 0; index < NODES; index++) this.nodes.push(this.createNode(index, options))
    this.cell.machines.forEach((machine, index) => { this.assign(machine, this.nodes[index % NODES]!) })
    const heartbeat = options.heartbeat ?? 500
    for (const node of this.nodes) {
      this.publish(node)
      this.clock.schedule(this.random.next() * heartbeat, () => { this.clock.repeat(heartbeat, () => { this.publish(node) }) })
      this.clock.schedule(this.random.next() * TICK, () => { this.clock.repeat(TICK, () => { this.tick(node) }) })
    }
  }

  override submit (work: Work): void {
    if (this.tasks.has(work.class)) {
      this.queue.waiting.push(work)
      return
    }
    this.budget.deposit(work.class, this.classes.get(work.class)!.retries)
    this.send(work, this.random.pick(this.nodes), { avoid: [], hops: 0 })
  }

  override withdraw (work: Work): void {
    this.recorder.withdraw(work, this.clock.now())
    const attempt = this.byWork.get(work)
    if (attempt !== undefined) this.forget(attempt)
    if (attempt !== undefined) this.cancel(attempt)
  }

  private createNode (index: number, options: PolicyOptions): Node {
    const name = `n${index}`
    const random = new SeededRandom(options.seed * 100 + index)
    const settings = { name, classes: options.classes, now: 0, random, preemptsTasks: this.tasks.size > 0, ...options.admission }
    const admission = new Admission(settings)
    const machines: Machine[] = []
    const preempts = settings.preemptsTasks
    const { clock, cell, recorder, queue, classes, tasks } = this
    const feeder = this.tasks.size === 0 ? null : new TaskFeeder({ clock, cell, recorder, admission, machines, queue, classes, tasks, preempts })
    return { name, admission, views: new Map(), machines, feeder, outstanding: new Map() }
  }

  private assign (machine: Machine, owner: Node): void {
    this.machines.set(machine.id, machine)
    owner.machines.push(machine)
    const resources = { slots: machine.slots, cores: 16, memory: 65_536, accelerators: 0 }
    const place = { address: { host: '127.0.0.1', port: 1 }, connections: 60, dataCentre: 'dc', rack: 'rack' }
    owner.admission.addWorker({ id: machine.id, resources, ...place }, 0)
  }

  private publish (node: Node): void {
    const now = this.clock.now()
    const load = node.admission.load(now)
    this.recorder.messages += NODES - 1
    for (const other of this.nodes) {
      this.deliver(node, other, () => {
        other.views.set(node.name, { load, madeAt: now })
      })
    }
  }

  private tick (node: Node): void {
    const now = this.clock.now()
    const peers: PeerLoad[] = []
    for (const [incarnation, { load, madeAt }] of node.views) {
      if (incarnation !== node.name) peers.push({ incarnation, load, age: now - madeAt })
    }
    this.carryOut(node, node.admission.tick(now, peers))
    node.feeder?.tick((id, ending) => { this.carryOut(node, node.admission.releaseHold(id, this.clock.now(), ending)) })
  }

  private deliver (from: Node, to: Node, act: () => void): void {
    this.clock.schedule(from === to ? 0 : HOP, act)
  }

  private send (work: Work, front: Node, options: { avoid: string[], hops: number, to?: string }): void {
    const owner = this.nodes.find(node => node.name === options.to) ?? this.choose(work, front)
    const now = this.clock.now()
    const rule = this.classes.get(work.class)!
    const waited = now - work.arrival
    const ask: Ask = {
      id: `${this.count++}`,
      class: work.class,
      caller: work.caller,
      team: '',
      resources: { slots: 1, cores: 1, memory: 1024, accelerators: 0 },
      patience: Math.max(1, rule.patience - waited),
      waited,
      avoid: options.avoid
    }
    const attempt = { work, front, ask, owner, hops: options.hops }
    this.attempts.set(ask.id, attempt)
    this.byWork.set(work, attempt)
    front.outstanding.set(owner.name, (front.outstanding.get(owner.name) ?? 0) + 1)
    this.message(front, owner, () => { this.carryOut(owner, owner.admission.ask(ask, front.name, this.clock.now())) })
  }

  private choose (work: Work, front: Node): Node {
    const now = this.clock.now()
    const owners: OwnerCandidate[] = []
    for (const [incarnation, { load, madeAt }] of front.views) {
      const own = incarnation === front.name
      const fresh = own ? front.admission.load(now) : load
      owners.push({ incarnation, load: fresh, age: own ? 0 : now - madeAt, dataCentre: incarnation })
    }
    const priority = this.classes.get(work.class)!.priority
    const { outstanding } = front
    const choice = chooseOwner({ owners, priority, outstanding, random: this.random, ...this.routing, ...(this.local ? { self: front.name } : {}) })
    return this.nodes.find(node => node.name === choice?.owner) ?? front
  }

  private message (from: Node, to: Node, act: () => void): void {
    if (from !== to) this.recorder.messages++
    this.deliver(from, to, act)
  }

  private carryOut (owner: Node, decisions: Decision[]): void {
    for (const decision of decisions) {
      if (decision.kind === 'refuse' && decision.reason === 'cancelled') continue
      const front = this.nodes.find(node => node.name === decision.front)!
      if (decision.kind === 'grant') this.recorder.hold(1, this.clock.now())
      this.message(owner, front, () => {
        if (decision.kind === 'grant') this.start(owner, front, decision)
        else this.refused(decision)
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
    this.clock.schedule(HOP, () => { this.run(owner, front, grant, attempt) })
  }

  private run (owner: Node, front: Node, grant: GrantDecision, attempt: Attempt): void {
    const { work } = attempt
    if (work.state !== 'waiting') {
      this.clock.schedule(HOP, () => { this.cancel(attempt) })
      this.recorder.hold(-1, this.clock.now())
      return
    }
    const startedAt = this.clock.now()
    this.recorder.hold(-1, startedAt)
    this.cell.run(work, this.machines.get(grant.worker)!, succeeded => {
      const serviceTime = this.clock.now() - startedAt
      this.recorder.hold(1, this.clock.now())
      this.clock.schedule(HOP, () => { this.ended(owner, front, grant, { attempt, succeeded, serviceTime }) })
    })
  }

  private ended (owner: Node, front: Node, grant: GrantDecision, end: { attempt: Attempt, succeeded: boolean, serviceTime: number }): void {
    const { work, ask } = end.attempt
    const now = this.clock.now()
    if (!end.succeeded && this.budget.tryWithdraw(work.class)) {
      this.recorder.retry(work, now)
      this.send(work, front, { avoid: [...ask.avoid, grant.worker], hops: 0 })
    }
    const { permit, worker } = grant
    const ending = end.succeeded ? 'completed' : 'failed'
    this.message(front, owner, () => {
      const later = this.clock.now()
      this.recorder.hold(-1, later)
      if (work.state === 'withdrawn') this.carryOut(owner, owner.admission.cancel([ask.id], front.name, later))
      else this.carryOut(owner, owner.admission.release({ permit, worker, ending, serviceTime: end.serviceTime }, front.name, later))
    })
  }

  private refused (refusal: RefuseDecision): void {
    const attempt = this.attempts.get(refusal.ask.id)
    if (attempt === undefined) return
    this.forget(attempt)
    const { work, front, hops, ask } = attempt
    if (refusal.redirect !== '' && hops < MOST_HOPS) {
      this.send(work, front, { avoid: ask.avoid, hops: hops + 1, to: refusal.redirect })
      return
    }
    this.recorder.refuse(work, this.clock.now())
    if (this.comeBack === 'never' || work.returned) return
    const delay = this.comeBack === 'hint' ? refusal.retryAfter : SOON
    this.clock.schedule(delay, () => {
      this.recorder.return(work, this.clock.now())
      this.submit(work)
    })
  }

  private cancel (attempt: Attempt): void {
    const { front, owner, ask } = attempt
    this.message(front, owner, () => {
      this.carryOut(owner, owner.admission.cancel([ask.id], front.name, this.clock.now()))
    })
  }

  private forget (attempt: Attempt): void {
    this.attempts.delete(attempt.ask.id)
    const { front, owner } = attempt
    front.outstanding.set(owner.name, front.outstanding.get(owner.name)! - 1)
    this.byWork.delete(attempt.work)
  }
}
