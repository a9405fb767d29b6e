import type { Assignment, Holder, Incarnation } from '@rattanstep/core'
import { Lease } from '../../src/runtime/Lease.js'
import type { LeaseMemory } from '../../src/runtime/Lease.js'
import { isGone } from '../../src/runtime/Losses.js'
import { Planner } from '../../src/runtime/Planner.js'
import { Voter } from '../../src/runtime/Voter.js'
import type { VoterMemory } from '../../src/runtime/Voter.js'
import type { Facts } from '../../src/types/Facts.js'
import { isMajority, namedVoters, sameMembers } from '../../src/utils/quorum.js'
import { entry } from './Cell.js'

/** The one resource of the model. */
export const RESOURCE = 'worker/r'

interface ModelNode {
  id: string
  incarnation: Incarnation
  alive: boolean
  listed: boolean
  draining: boolean
  version: number
  voter: VoterMemory
  lease: LeaseMemory
  /** Version at which the node stopped admitting; -1 for none. */
  released: number
  /** Own time since which each set of voters was seen lost. */
  lostSince: Record<string, number>
}

/** A heartbeat that may arrive any number of times, or its answer. */
interface ModelMessage {
  kind: 'heartbeat' | 'promise'
  from: Incarnation
  to: Incarnation
  version: number
  sentAt: number
}

/** What may still happen, so that the search ends. */
export interface Budget {
  ticks: number
  beats: number
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
  /** Votes given, as `holder version voter`. */
  votes: string[]
  /** What holders said that they count by, as `holder version voters`. */
  said: string[]
  /** Writes that may still land. */
  writes: Assignment[]
  budget: Budget
}

/** Which parts the model is built from and how its nodes behave. */
export interface ModelOptions {
  voter?: typeof Voter
  lease?: typeof Lease
  planner?: Planner
  length?: number
  margin?: number
  /** Rate of each node's clock: units a tick. */
  rates?: number[]
  /** Instances that leave. */
  leaving?: string[]
  budget: Partial<Budget>
  /** The node whose admissions are checked: only its heartbeats and removals matter to that. */
  focus: string
  /** The first assignment. */
  start: { holders: string[], owner: string, voters: string[], nextVoters?: string[] }
  /** A restarted process keeps its name and has forgotten everything. */
  keepsName?: boolean
  /** A released resource is admitted for again although the write may land late. */
  undoesRelease?: boolean
  /** Promises arrive some time after they were made; otherwise at once, which is the worst case for safety. */
  delaysPromises?: boolean
  /** Waits this part of the usual time before voters are named afresh. */
  lossWait?: number
}

const NO_BUDGET: Budget = { ticks: 0, beats: 0, restarts: 0, crashes: 0, writes: 0, releases: 0 }

/** A step with a name for traces. */
export interface Step { name: string, state: ModelState }

/** The protocol as a transition system over the real voter, lease and planner. */
export class Model {
  private readonly options: ModelOptions
  private readonly length: number
  private readonly margin: number
  private readonly planner: Planner

  constructor (options: ModelOptions) {
    this.options = options
    this.length = options.length ?? 2
    this.margin = options.margin ?? 0
    this.planner = options.planner ?? new Planner()
  }

  first (): ModelState {
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
      said: [],
      writes: [],
      budget: { ...NO_BUDGET, ...budget }
    }
    for (const node of state.nodes) this.adopt(state, node, 1)
    return state
  }

  /** The table's row gives the resource to each node that may admit for it. */
  violation (state: ModelState): string | null {
    const owner = rowOf(state).owners[RESOURCE]
    const wrong = state.nodes.find((node, index) => owner !== node.incarnation && this.mayAdmit(state, node, index))
    if (wrong === undefined) return null
    return `${wrong.incarnation} may admit at version ${wrong.version}, the row says ${owner} at ${rowOf(state).version}`
  }

  steps (state: ModelState): Step[] {
    const steps: Step[] = []
    const add = (name: string, change: (next: ModelState) => void): void => {
      const next = copy(state)
      change(next)
      this.forget(next)
      steps.push({ name, state: next })
    }
    if (state.budget.ticks > 0) add('tick', next => { next.time++; next.budget.ticks-- })
    state.nodes.forEach((node, index) => { if (node.alive) this.nodeSteps(state, node, index, add) })
    state.messages.forEach((message, index) => { this.messageSteps(state, message, index, add) })
    state.writes.forEach((_, index) => { add(`write ${index} lands`, next => { land(next, index) }) })
    return steps
  }

  private nodeSteps (state: ModelState, node: ModelNode, index: number, add: Adder): void {
    const { budget } = state
    const label = node.incarnation
    const { version } = rowOf(state)
    if (node.version < version) add(`${label} learns ${version}`, next => { this.adopt(next, touch(next, index), version) })
    if (budget.beats > 0 && this.isFocus(node)) add(`${label} beats`, next => { this.beat(next, index) })
    if (budget.releases > 0 && this.isFocus(node) && this.assignmentOf(state, node).owners[RESOURCE] === label && node.released !== node.version) {
      add(`${label} releases`, next => { touch(next, index).released = node.version; next.budget.releases-- })
    }
    if (this.options.undoesRelease === true && node.released === node.version) {
      add(`${label} takes its release back`, next => { touch(next, index).released = -1 })
    }
    if (budget.restarts > 0) add(`${label} restarts`, next => { this.restart(next, index) })
    if (budget.crashes > 0) add(`${label} crashes`, next => { crash(next, index) })
    this.voteSteps(state, node, index, add)
    this.planSteps(state, node, index, add)
  }

  private voteSteps (state: ModelState, node: ModelNode, index: number, add: Adder): void {
    const assignment = this.assignmentOf(state, node)
    if (!namedVoters(assignment).includes(node.incarnation)) return
    for (const { incarnation } of assignment.holders) {
      if (!incarnation.startsWith(`${this.options.focus}@`)) continue
      const vote = `${incarnation} ${node.version} ${node.incarnation}`
      if (incarnation === node.incarnation || state.votes.includes(vote)) continue
      const memory = structuredClone(node.voter)
      if (!this.voterOf(memory).vote(incarnation, node.version, this.now(state, index))) continue
      add(`${node.incarnation} votes against ${incarnation}`, next => {
        touch(next, index).voter = memory
        next.votes = [...next.votes, vote].sort()
      })
    }
  }

  private planSteps (state: ModelState, node: ModelNode, index: number, add: Adder): void {
    if (state.budget.writes === 0) return
    const known = this.assignmentOf(state, node)
    const others = state.nodes.filter(other => other !== node && other.alive).map(other => other.incarnation)
    const unheard = others.filter(other => !other.startsWith(`${this.options.focus}@`))
    const views = this.options.budget.crashes === undefined ? [others] : [others, unheard]
    const seen = new Set<string>()
    for (const view of views) {
      const facts = this.facts(state, node, index, new Set([node.incarnation, ...view]))
      const plan = this.planner.plan(known, facts)
      if (plan === null) continue
      const key = textOf(plan.next)
      if (seen.has(key) || state.writes.some(write => textOf(write) === key)) continue
      seen.add(key)
      add(`${node.incarnation} writes ${plan.next.version}: ${plan.changes.join('; ')}`, next => {
        next.writes.push(plan.next)
        next.budget.writes--
      })
    }
    this.lossSteps(state, node, index, add)
  }

  private lossSteps (state: ModelState, node: ModelNode, index: number, add: Adder): void {
    const { voters, nextVoters } = this.assignmentOf(state, node)
    for (const members of [voters, nextVoters ?? []]) {
      const key = members.join(' ')
      if (node.lostSince[key] !== undefined || !this.looksLost(state, node, members)) continue
      add(`${node.incarnation} sees that ${key} are lost`, next => {
        touch(next, index).lostSince[key] = this.now(next, index)
      })
    }
  }

  private messageSteps (state: ModelState, message: ModelMessage, position: number, add: Adder): void {
    const index = state.nodes.findIndex(node => node.alive && node.incarnation === message.to)
    if (index < 0) return
    const label = `${message.to} gets ${message.kind} of ${message.from} sent at ${message.sentAt}`
    if (message.kind === 'heartbeat') {
      add(label, next => { this.hear(next, index, next.messages[position]!) })
      return
    }
    add(label, next => {
      const node = touch(next, index)
      this.leaseOf(node.lease).grant(message.from, message.sentAt, this.now(next, index))
    })
  }

  private hear (state: ModelState, index: number, message: ModelMessage): void {
    const node = touch(state, index)
    const granted = this.voterOf(node.voter).promise(message.from, message.version, this.now(state, index))
    if (!granted) return
    if (this.options.delaysPromises === true) {
      send(state, { kind: 'promise', from: message.to, to: message.from, version: node.version, sentAt: message.sentAt })
      return
    }
    const sender = state.nodes.findIndex(other => other.alive && other.incarnation === message.from)
    this.leaseOf(touch(state, sender).lease).grant(message.to, message.sentAt, this.now(state, sender))
  }

  private beat (state: ModelState, index: number): void {
    const node = touch(state, index)
    const now = this.now(state, index)
    const lease = this.leaseOf(node.lease)
    const assignment = this.assignmentOf(state, node)
    state.budget.beats--
    if (!assignment.holders.some(holder => holder.incarnation === node.incarnation)) return
    for (const voter of namedVoters(assignment)) {
      if (voter !== node.incarnation) {
        send(state, { kind: 'heartbeat', from: node.incarnation, to: voter, version: node.version, sentAt: now })
      } else if (this.voterOf(node.voter).promise(voter, node.version, now)) lease.grant(voter, now, now)
    }
    const words = `${node.incarnation} ${node.version} ${lease.countsBy.join(' ')}`
    if (!state.said.includes(words)) state.said = [...state.said, words].sort()
  }

  private adopt (state: ModelState, node: ModelNode, version: number): void {
    const assignment = state.history[version - 1]!
    node.version = version
    node.released = -1
    this.voterOf(node.voter).follow(version)
    this.leaseOf(node.lease).adopt(assignment)
    const keys = [assignment.voters.join(' '), (assignment.nextVoters ?? []).join(' ')]
    node.lostSince = Object.fromEntries(Object.entries(node.lostSince).filter(([key]) => keys.includes(key)))
  }

  private restart (state: ModelState, index: number): void {
    const { id, incarnation, version } = state.nodes[index]!
    state.budget.restarts--
    const life = Number(incarnation.slice(incarnation.indexOf('@') + 1)) + 1
    const name = this.options.keepsName === true ? incarnation : `${id}@${life}`
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
    if (this.isFocus(node)) countsBy.set(node.incarnation, this.leaseOf(node.lease).countsBy)
    for (const words of state.said) {
      const [holder, version, ...counted] = words.split(' ') as [string, string, ...string[]]
      if (Number(version) === node.version && nextVoters !== null && sameMembers(counted, nextVoters)) countsBy.set(holder, counted)
    }
    return {
      self: { ...holderOf(node.incarnation), draining: node.draining },
      heard,
      leaving: new Set((this.options.leaving ?? []).map(id => `${id}@0`)),
      unlisted: new Set(),
      votes,
      countsBy,
      lost: {
        voters: this.isLost(state, node, index, voters),
        nextVoters: nextVoters !== null && this.isLost(state, node, index, nextVoters)
      },
      resources: [RESOURCE],
      released: node.released === node.version ? [RESOURCE] : [],
      claims: true,
      voidsVotes: false
    }
  }

  private isLost (state: ModelState, node: ModelNode, index: number, members: readonly Incarnation[]): boolean {
    const since = node.lostSince[members.join(' ')]
    if (since === undefined || !this.looksLost(state, node, members)) return false
    const wait = this.length * (1 + this.margin) * (this.options.lossWait ?? 1)
    return this.now(state, index) - since >= wait
  }

  private looksLost (state: ModelState, node: ModelNode, members: readonly Incarnation[]): boolean {
    const instances = state.nodes.filter(other => other.listed).map(other => entry(other.id))
    const heard = new Set(state.nodes.filter(other => other.alive).map(other => other.incarnation))
    const assignment = this.assignmentOf(state, node)
    const present = members.filter(member => !isGone(member, { assignment, instances, heard }))
    return members.length > 0 && !isMajority(members, new Set(present))
  }

  private mayAdmit (state: ModelState, node: ModelNode, index: number): boolean {
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

  /** Clocks show different times, so that none is mistaken for another. */
  private now (state: ModelState, index: number): number {
    return state.time * (this.options.rates?.[index] ?? 1)
  }

  /** Drops what can change nothing any more: messages too old to extend a lease, writes that can't land. */
  private forget (state: ModelState): void {
    state.messages = state.messages.filter(message => {
      const sender = message.kind === 'heartbeat' ? message.from : message.to
      const index = state.nodes.findIndex(node => node.alive && node.incarnation === sender)
      return index >= 0 && this.now(state, index) - message.sentAt < this.length
    })
    state.writes = state.writes.filter(write => write.version === rowOf(state).version + 1)
  }

  private voterOf (memory: VoterMemory): Voter {
    return new (this.options.voter ?? Voter)({ lease: this.length, memory })
  }

  private leaseOf (memory: LeaseMemory): Lease {
    return new (this.options.lease ?? Lease)({ lease: this.length, margin: this.margin, memory })
  }
}

type Adder = (name: string, change: (next: ModelState) => void) => void

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
    lease: { voters: [], nextVoters: null, countsByNext: false, promises: {} },
    released: -1,
    lostSince: {}
  }
}

function crash (state: ModelState, index: number): void {
  const node = touch(state, index)
  node.alive = false
  node.listed = false
  state.budget.crashes--
}

function land (state: ModelState, index: number): void {
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

const texts = new WeakMap<object, string>()

/** The JSON text of a part of a state, which never changes once the state is complete. */
export function textOf (part: object): string {
  const known = texts.get(part)
  if (known !== undefined) return known
  const text = JSON.stringify(part)
  texts.set(part, text)
  return text
}

/** Parts are shared between states; what a step changes it copies first. */
function copy (state: ModelState): ModelState {
  return { ...state, history: [...state.history], nodes: [...state.nodes], writes: [...state.writes], budget: { ...state.budget } }
}

function touch (state: ModelState, index: number): ModelNode {
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
