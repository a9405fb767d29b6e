import type { Assignment, Holder, Incarnation } from '@rattanstep/core'
import { Lease } from '../../src/runtime/Lease.js'
import type { LeaseState } from '../../src/runtime/Lease.js'
import { Planner } from '../../src/runtime/Planner.js'
import { Voter } from '../../src/runtime/Voter.js'
import type { VoterState } from '../../src/runtime/Voter.js'
import { isGone } from '../../src/runtime/VoterLossDetector.js'
import type { Facts } from '../../src/types/Facts.js'
import { allVoters, isMajority, sameMembers } from '../../src/utils/quorum.js'
import { entry } from './Cell.js'

/** The only resource of the model. */
export const RESOURCE = 'worker/r'

interface ModelNode {
  id: string
  incarnation: Incarnation
  alive: boolean
  listed: boolean
  draining: boolean
  version: number
  voter: VoterState
  lease: LeaseState
  /** Version at which the node released the resource; -1 for none. */
  released: number
  /** For each voter set, the node's own time since which it has appeared lost. */
  lostSince: Record<string, number>
}

/** A heartbeat or the promise that answers it; either may arrive any number of times. */
interface ModelMessage {
  kind: 'heartbeat' | 'promise'
  from: Incarnation
  to: Incarnation
  version: number
  sentAt: number
}

/** How often each kind of step may still happen; it bounds the search. */
export interface Budget {
  ticks: number
  heartbeats: number
  restarts: number
  crashes: number
  writes: number
  releases: number
}

export interface ModelState {
  time: number
  history: Assignment[]
  nodes: ModelNode[]
  messages: ModelMessage[]
  /** Votes for removals, as `holder version voter`. */
  votes: string[]
  /** Voter sets that holders reported for their leases, as `holder version voters`. */
  reportedVoters: string[]
  /** Writes that may still take effect. */
  writes: Assignment[]
  budget: Budget
}

/** The parts that the model is built from, and the behaviour of its nodes. */
export interface ModelOptions {
  voter?: typeof Voter
  lease?: typeof Lease
  planner?: Planner
  leaseLength?: number
  margin?: number
  /** Rate of each node's clock, in units per tick. */
  rates?: number[]
  /** Instances that are leaving. */
  leaving?: string[]
  budget: Partial<Budget>
  /** The node whose admissions are checked. Only its heartbeats and its removal matter for that, so only these are modelled. */
  focus: string
  /** The first assignment. */
  start: { holders: string[], owner: string, voters: string[], nextVoters?: string[] }
  /** A restarted process reuses its incarnation, without its earlier state. */
  reusesIncarnation?: boolean
  /** A node admits for a released resource again although the write that hands it over may still take effect. */
  revertsRelease?: boolean
  /** Promises arrive some time after they were given; otherwise at once, which is the worst case for safety. */
  delaysPromises?: boolean
  /** Factor on the usual delay before new voters are chosen. */
  lossDelayFactor?: number
}

const NO_BUDGET: Budget = { ticks: 0, heartbeats: 0, restarts: 0, crashes: 0, writes: 0, releases: 0 }

/** A step, with its name for traces and the state after it. */
export interface Step { name: string, state: ModelState }

/** The protocol as a transition system that uses the real voter, lease and planner. */
export class Model {
  private readonly options: ModelOptions
  private readonly leaseLength: number
  private readonly margin: number
  private readonly planner: Planner

  constructor (options: ModelOptions) {
    this.options = options
    this.leaseLength = options.leaseLength ?? 2
    this.margin = options.margin ?? 0
    this.planner = options.planner ?? new Planner()
  }

  initialState (): ModelState {
    const { start, budget } = this.options
    const ids = start.holders
    const assignment: Assignment = {
      version: 1,
      holders: ids.map(id => holderOf(`${id}@0`)),
      owners: { [RESOURCE]: `${start.owner}@0` },
      voters: start.voters.map(id => `${id}@0`),
      nextVoters: start.nextVoters?.map(id => `${id}@0`) ?? null
    }
    const state: ModelState = {
      time: 0,
      history: [assignment],
      nodes: ids.map(id => newNode(id, `${id}@0`)),
      messages: [],
      votes: [],
      reportedVoters: [],
      writes: [],
      budget: { ...NO_BUDGET, ...budget }
    }
    for (const node of state.nodes) this.adopt(state, node, 1)
    return state
  }

  /** @returns a node that may admit although the row does not give it the resource, as text; null when there is none */
  violation (state: ModelState): string | null {
    const owner = rowOf(state).owners[RESOURCE]
    const wrong = state.nodes.find((node, index) => owner !== node.incarnation && this.canAdmit(state, node, index))
    if (wrong === undefined) return null
    return `${wrong.incarnation} may admit at version ${wrong.version}, the owner in the row is ${owner} at version ${rowOf(state).version}`
  }

  steps (state: ModelState): Step[] {
    const steps: Step[] = []
    const add = (name: string, change: (next: ModelState) => void): void => {
      const next = copyState(state)
      change(next)
      this.prune(next)
      steps.push({ name, state: next })
    }
    if (state.budget.ticks > 0) add('tick', next => { next.time++; next.budget.ticks-- })
    state.nodes.forEach((node, index) => { if (node.alive) this.nodeSteps(state, node, index, add) })
    state.messages.forEach((message, index) => { this.messageSteps(state, message, index, add) })
    state.writes.forEach((_, index) => { add(`write ${index} takes effect`, next => { applyWrite(next, index) }) })
    return steps
  }

  private nodeSteps (state: ModelState, node: ModelNode, index: number, add: AddStep): void {
    const { budget } = state
    const label = node.incarnation
    const { version } = rowOf(state)
    if (node.version < version) add(`${label} adopts version ${version}`, next => { this.adopt(next, copyNode(next, index), version) })
    if (budget.heartbeats > 0 && this.isFocus(node)) add(`${label} sends heartbeats`, next => { this.sendHeartbeat(next, index) })
    if (budget.releases > 0 && this.isFocus(node) && this.assignmentOf(state, node).owners[RESOURCE] === label && node.released !== node.version) {
      add(`${label} releases`, next => { copyNode(next, index).released = node.version; next.budget.releases-- })
    }
    if (this.options.revertsRelease === true && node.released === node.version) {
      add(`${label} reverts its release`, next => { copyNode(next, index).released = -1 })
    }
    if (budget.restarts > 0) add(`${label} restarts`, next => { this.restart(next, index) })
    if (budget.crashes > 0) add(`${label} crashes`, next => { crash(next, index) })
    this.voteSteps(state, node, index, add)
    this.planSteps(state, node, index, add)
  }

  private voteSteps (state: ModelState, node: ModelNode, index: number, add: AddStep): void {
    const assignment = this.assignmentOf(state, node)
    if (!allVoters(assignment).includes(node.incarnation)) return
    for (const { incarnation } of assignment.holders) {
      if (!incarnation.startsWith(`${this.options.focus}@`)) continue
      const vote = `${incarnation} ${node.version} ${node.incarnation}`
      if (incarnation === node.incarnation || state.votes.includes(vote)) continue
      const voterState = structuredClone(node.voter)
      if (!this.voterOf(voterState).vote(incarnation, node.version, this.now(state, index))) continue
      add(`${node.incarnation} votes against ${incarnation}`, next => {
        copyNode(next, index).voter = voterState
        next.votes = [...next.votes, vote].sort()
      })
    }
  }

  private planSteps (state: ModelState, node: ModelNode, index: number, add: AddStep): void {
    if (state.budget.writes === 0) return
    const known = this.assignmentOf(state, node)
    const others = state.nodes.filter(other => other !== node && other.alive).map(other => other.incarnation)
    const unheard = others.filter(other => !other.startsWith(`${this.options.focus}@`))
    const views = this.options.budget.crashes === undefined ? [others] : [others, unheard]
    const planned = new Set<string>()
    for (const view of views) {
      const facts = this.facts(state, node, index, new Set([node.incarnation, ...view]))
      const plan = this.planner.plan(known, facts)
      if (plan === null) continue
      const key = textOf(plan.next)
      if (planned.has(key) || state.writes.some(write => textOf(write) === key)) continue
      planned.add(key)
      add(`${node.incarnation} writes ${plan.next.version}: ${plan.changes.join('; ')}`, next => {
        next.writes.push(plan.next)
        next.budget.writes--
      })
    }
    this.lossSteps(state, node, index, add)
  }

  private lossSteps (state: ModelState, node: ModelNode, index: number, add: AddStep): void {
    const { voters, nextVoters } = this.assignmentOf(state, node)
    for (const members of [voters, nextVoters ?? []]) {
      const key = members.join(' ')
      if (node.lostSince[key] !== undefined || !this.appearsLost(state, node, members)) continue
      add(`${node.incarnation} finds ${key} lost`, next => {
        copyNode(next, index).lostSince[key] = this.now(next, index)
      })
    }
  }

  private messageSteps (state: ModelState, message: ModelMessage, position: number, add: AddStep): void {
    const index = state.nodes.findIndex(node => node.alive && node.incarnation === message.to)
    if (index < 0) return
    const label = `${message.to} receives ${message.kind} of ${message.from} sent at ${message.sentAt}`
    if (message.kind === 'heartbeat') {
      add(label, next => { this.receiveHeartbeat(next, index, next.messages[position]!) })
      return
    }
    add(label, next => {
      const node = copyNode(next, index)
      this.leaseOf(node.lease).addPromise(message.from, message.sentAt, this.now(next, index))
    })
  }

  private receiveHeartbeat (state: ModelState, index: number, message: ModelMessage): void {
    const node = copyNode(state, index)
    const granted = this.voterOf(node.voter).promise(message.from, message.version, this.now(state, index))
    if (!granted) return
    if (this.options.delaysPromises === true) {
      send(state, { kind: 'promise', from: message.to, to: message.from, version: node.version, sentAt: message.sentAt })
      return
    }
    const sender = state.nodes.findIndex(other => other.alive && other.incarnation === message.from)
    this.leaseOf(copyNode(state, sender).lease).addPromise(message.to, message.sentAt, this.now(state, sender))
  }

  private sendHeartbeat (state: ModelState, index: number): void {
    const node = copyNode(state, index)
    const now = this.now(state, index)
    const lease = this.leaseOf(node.lease)
    const assignment = this.assignmentOf(state, node)
    state.budget.heartbeats--
    if (!assignment.holders.some(holder => holder.incarnation === node.incarnation)) return
    for (const voter of allVoters(assignment)) {
      if (voter !== node.incarnation) {
        send(state, { kind: 'heartbeat', from: node.incarnation, to: voter, version: node.version, sentAt: now })
      } else if (this.voterOf(node.voter).promise(voter, node.version, now)) lease.addPromise(voter, now, now)
    }
    const report = `${node.incarnation} ${node.version} ${lease.activeVoters.join(' ')}`
    if (!state.reportedVoters.includes(report)) state.reportedVoters = [...state.reportedVoters, report].sort()
  }

  private adopt (state: ModelState, node: ModelNode, version: number): void {
    const assignment = state.history[version - 1]!
    node.version = version
    node.released = -1
    this.voterOf(node.voter).adoptVersion(version)
    this.leaseOf(node.lease).adopt(assignment)
    const keys = [assignment.voters.join(' '), (assignment.nextVoters ?? []).join(' ')]
    node.lostSince = Object.fromEntries(Object.entries(node.lostSince).filter(([key]) => keys.includes(key)))
  }

  private restart (state: ModelState, index: number): void {
    const { id, incarnation, version } = state.nodes[index]!
    state.budget.restarts--
    const incarnationNumber = Number(incarnation.slice(incarnation.indexOf('@') + 1)) + 1
    const name = this.options.reusesIncarnation === true ? incarnation : `${id}@${incarnationNumber}`
    state.nodes[index] = newNode(id, name)
    this.adopt(state, state.nodes[index]!, version)
  }

  private facts (state: ModelState, node: ModelNode, index: number, heard: Set<Incarnation>): Facts {
    const votes = new Map<Incarnation, Set<Incarnation>>()
    for (const vote of state.votes) {
      const [holder, version, voter] = vote.split(' ') as [string, string, string]
      if (Number(version) === node.version) votes.set(holder, (votes.get(holder) ?? new Set()).add(voter))
    }
    const { voters, nextVoters, holders } = this.assignmentOf(state, node)
    const countsBy = new Map<Incarnation, readonly Incarnation[]>()
    for (const { incarnation } of holders) {
      if (!incarnation.startsWith(`${this.options.focus}@`)) countsBy.set(incarnation, nextVoters ?? voters)
    }
    if (this.isFocus(node)) countsBy.set(node.incarnation, this.leaseOf(node.lease).activeVoters)
    for (const report of state.reportedVoters) {
      const [holder, version, ...counted] = report.split(' ') as [string, string, ...string[]]
      if (Number(version) === node.version && nextVoters !== null && sameMembers(counted, nextVoters)) countsBy.set(holder, counted)
    }
    return {
      self: { ...holderOf(node.incarnation), draining: node.draining },
      heard,
      leaving: new Set((this.options.leaving ?? []).map(id => `${id}@0`)),
      unlisted: new Set(),
      listed: new Set([...voters, ...nextVoters ?? []]),
      votes,
      activeVoters: countsBy,
      lost: {
        voters: this.isLost(state, node, index, voters),
        nextVoters: nextVoters !== null && this.isLost(state, node, index, nextVoters)
      },
      resources: [RESOURCE],
      released: node.released === node.version ? [RESOURCE] : [],
      canClaim: true,
      shouldVoidVotes: false
    }
  }

  private isLost (state: ModelState, node: ModelNode, index: number, members: readonly Incarnation[]): boolean {
    const since = node.lostSince[members.join(' ')]
    if (since === undefined || !this.appearsLost(state, node, members)) return false
    const wait = this.leaseLength * (1 + this.margin) * (this.options.lossDelayFactor ?? 1)
    return this.now(state, index) - since >= wait
  }

  private appearsLost (state: ModelState, node: ModelNode, members: readonly Incarnation[]): boolean {
    const instances = state.nodes.filter(other => other.listed).map(other => entry(other.id))
    const heard = new Set(state.nodes.filter(other => other.alive).map(other => other.incarnation))
    const assignment = this.assignmentOf(state, node)
    const present = members.filter(member => !isGone(member, { assignment, instances, heard }))
    return members.length > 0 && !isMajority(members, new Set(present))
  }

  private canAdmit (state: ModelState, node: ModelNode, index: number): boolean {
    if (!node.alive || this.assignmentOf(state, node).owners[RESOURCE] !== node.incarnation) return false
    if (node.released === node.version) return false
    return this.leaseOf(node.lease).expiry() > this.now(state, index)
  }

  private isFocus (node: ModelNode): boolean {
    return node.id === this.options.focus
  }

  private assignmentOf (state: ModelState, node: ModelNode): Assignment {
    return state.history[node.version - 1]!
  }

  /** The node's own time; with `rates`, clocks differ, so that the time of one node is not mistaken for another's. */
  private now (state: ModelState, index: number): number {
    return state.time * (this.options.rates?.[index] ?? 1)
  }

  /** Drops messages too old to extend a lease, and writes that can no longer take effect, to keep the search small. */
  private prune (state: ModelState): void {
    state.messages = state.messages.filter(message => {
      const sender = message.kind === 'heartbeat' ? message.from : message.to
      const index = state.nodes.findIndex(node => node.alive && node.incarnation === sender)
      return index >= 0 && this.now(state, index) - message.sentAt < this.leaseLength
    })
    state.writes = state.writes.filter(write => write.version === rowOf(state).version + 1)
  }

  private voterOf (state: VoterState): Voter {
    return new (this.options.voter ?? Voter)({ lease: this.leaseLength, state })
  }

  private leaseOf (state: LeaseState): Lease {
    return new (this.options.lease ?? Lease)({ lease: this.leaseLength, margin: this.margin, state })
  }
}

type AddStep = (name: string, change: (next: ModelState) => void) => void

function rowOf (state: ModelState): Assignment {
  return state.history[state.history.length - 1]!
}

function holderOf (incarnation: Incarnation): Holder {
  return { incarnation, dataCentre: 'dc', peer: { host: '127.0.0.1', port: 1 }, draining: false }
}

function newNode (id: string, incarnation: Incarnation): ModelNode {
  return {
    id,
    incarnation,
    alive: true,
    listed: true,
    draining: false,
    version: 0,
    voter: { version: 0, promises: {}, votes: {} },
    lease: { voters: [], nextVoters: null, usesNextVoters: false, promises: {} },
    released: -1,
    lostSince: {}
  }
}

function crash (state: ModelState, index: number): void {
  const node = copyNode(state, index)
  node.alive = false
  node.listed = false
  state.budget.crashes--
}

function applyWrite (state: ModelState, index: number): void {
  const write = state.writes[index]!
  if (write.version === rowOf(state).version + 1) state.history.push(write)
}

function send (state: ModelState, message: ModelMessage): void {
  if (state.messages.some(other => isSame(other, message))) return
  state.messages = [...state.messages, message].sort((a, b) => textOf(a) < textOf(b) ? -1 : 1)
}

function isSame (a: ModelMessage, b: ModelMessage): boolean {
  return textOf(a) === textOf(b)
}

const jsonTexts = new WeakMap<object, string>()

/** The JSON text of a part of a state. It is cached, since a part never changes once the state is complete. */
export function textOf (part: object): string {
  const known = jsonTexts.get(part)
  if (known !== undefined) return known
  const text = JSON.stringify(part)
  jsonTexts.set(part, text)
  return text
}

/** Copies a state. Its parts are shared between states, so a step copies a part before it changes it. */
function copyState (state: ModelState): ModelState {
  return { ...state, history: [...state.history], nodes: [...state.nodes], writes: [...state.writes], budget: { ...state.budget } }
}

/** Replaces a node by a copy, which the step may change. */
function copyNode (state: ModelState, index: number): ModelNode {
  const node = state.nodes[index]!
  const fresh = {
    ...node,
    voter: { ...node.voter, promises: { ...node.voter.promises }, votes: { ...node.voter.votes } },
    lease: { ...node.lease, promises: { ...node.lease.promises } },
    lostSince: { ...node.lostSince }
  }
  state.nodes[index] = fresh
  return fresh
}
