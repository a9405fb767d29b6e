import type { Assignment, Clock, HeartbeatMessage, Incarnation, Message, MessageKind, Network } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import { EVENTS } from '../types/events.js'
import { parseAssignment } from '../utils/parseAssignment.js'
import { allVoters } from '../utils/quorum.js'
import type { Follower } from './Follower.js'
import type { Heartbeats } from './Heartbeats.js'
import type { RemovalVotes } from './RemovalVotes.js'
import type { Voter } from './Voter.js'

/** Called with each heartbeat that arrives. */
export type HeartbeatListener = (from: Incarnation, heartbeat: HeartbeatMessage) => void

/** Dependencies of the dispatcher. */
export interface DispatcherOptions {
  self: Incarnation
  network: Network
  clock: Clock
  log: Log
  follower: Follower
  heartbeats: Heartbeats
  voter: Voter
  removalVotes: RemovalVotes
  /** Called when a message may allow a change of the assignment. */
  reconcile: () => void
}

const MESSAGE_KINDS: readonly MessageKind[] = ['heartbeat', 'promise', 'vote-request', 'vote', 'assignment']

/** Handles the messages of other nodes, and sends them assignments and requests for votes. */
export class Dispatcher {
  private readonly options: DispatcherOptions
  private readonly listeners: HeartbeatListener[] = []

  /** @param options - see the type */
  constructor (options: DispatcherOptions) {
    this.options = options
  }

  /**
   * @param message - any message
   * @returns whether this package handles messages of that kind
   */
  static handles (message: Message): boolean {
    return message.kind === 'fetch' ? message.what === 'assignment' : MESSAGE_KINDS.includes(message.kind)
  }

  /** @param listener - called with each heartbeat that arrives */
  onHeartbeat (listener: HeartbeatListener): void {
    this.listeners.push(listener)
  }

  /**
   * Handles a message if it belongs to this package.
   *
   * @param from - the sender
   * @param message - any message
   * @returns whether the message belonged to this package
   */
  receive (from: Incarnation, message: Message): boolean {
    switch (message.kind) {
      case 'heartbeat':
        this.receiveHeartbeat(from, message)
        return true
      case 'promise':
        this.options.heartbeats.receivePromise(from, message)
        return true
      case 'vote-request':
        this.answerVoteRequest(from, message.holder, message.version)
        return true
      case 'vote':
        if (message.granted) this.receiveVote(from, message.holder, message.version)
        return true
      case 'assignment':
        this.receiveAssignment(from, message.assignment)
        return true
      case 'fetch':
        return this.answerFetch(from, message.what)
      default:
        return false
    }
  }

  /**
   * Sends an assignment that this node wrote to every other holder, removed holders included.
   *
   * @param assignment - the assignment written
   * @param previous - the assignment that it replaced
   */
  broadcast (assignment: Assignment, previous: Assignment): void {
    const { network, self } = this.options
    const holders = [...assignment.holders, ...previous.holders].map(holder => holder.incarnation)
    for (const holder of new Set(holders)) {
      if (holder !== self) network.send(holder, { kind: 'assignment', assignment })
    }
  }

  /**
   * Asks the other voters to vote for the removal of holders.
   *
   * @param holders - holders suspected to have failed
   * @param votesItself - whether this voter votes too, for holders to which its own promise has lapsed
   */
  requestVotes (holders: readonly Incarnation[], votesItself: boolean): void {
    const { network, self, voter, clock, removalVotes, follower } = this.options
    const { version } = follower.assignment
    for (const holder of holders) {
      if (votesItself && voter.vote(holder, version, clock.now())) removalVotes.add(holder, self, version)
      for (const other of allVoters(follower.assignment)) {
        if (other !== self) network.send(other, { kind: 'vote-request', holder, version })
      }
    }
  }

  private receiveHeartbeat (from: Incarnation, heartbeat: HeartbeatMessage): void {
    const { network, heartbeats, follower } = this.options
    const { assignment } = follower
    heartbeats.receive(from, heartbeat)
    if (heartbeat.version < assignment.version) network.send(from, { kind: 'assignment', assignment })
    if (heartbeat.version > assignment.version) network.send(from, { kind: 'fetch', what: 'assignment' })
    for (const listener of this.listeners) this.notifyListener(listener, from, heartbeat)
  }

  private notifyListener (listener: HeartbeatListener, from: Incarnation, heartbeat: HeartbeatMessage): void {
    try {
      listener(from, heartbeat)
    } catch (error) {
      this.options.log.write(EVENTS.listenerFailed, { error: String(error) })
    }
  }

  private receiveAssignment (from: Incarnation, value: Assignment): void {
    const { log, follower, reconcile } = this.options
    const parsed = parseAssignment(value)
    if (parsed.isErr()) {
      log.write(EVENTS.invalidMessage, { from, kind: 'assignment', findings: parsed.error })
      return
    }
    if (follower.adopt(parsed.value, 'peer')) reconcile()
  }

  private answerFetch (from: Incarnation, what: string): boolean {
    if (what !== 'assignment') return false
    const { assignment } = this.options.follower
    if (assignment.version > 0) this.options.network.send(from, { kind: 'assignment', assignment })
    return true
  }

  private answerVoteRequest (from: Incarnation, holder: Incarnation, version: number): void {
    const { clock, log, network, voter, follower } = this.options
    if (version !== follower.assignment.version) return
    const granted = voter.vote(holder, version, clock.now())
    if (granted) log.write(EVENTS.voteGiven, { holder, version, to: from })
    network.send(from, { kind: 'vote', holder, version, granted })
  }

  private receiveVote (from: Incarnation, holder: Incarnation, version: number): void {
    this.options.removalVotes.add(holder, from, version)
    this.options.reconcile()
  }
}
