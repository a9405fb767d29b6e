import type { Assignment, Clock, HeartbeatMessage, Incarnation, Load, Network, PromiseMessage } from '@rattanstep/core'
import type { Timing } from '../types/Timing.js'
import { choosePeers } from '../utils/choosePeers.js'
import { allVoters } from '../utils/quorum.js'
import type { Lease } from './Lease.js'
import type { Voter } from './Voter.js'

/** Dependencies of the heartbeats. */
export interface HeartbeatsOptions {
  self: Incarnation
  network: Network
  clock: Clock
  timing: Timing
  lease: Lease
  voter: Voter
  load: () => Load | null
  rulesVersion: () => number
}

interface ReceivedHeartbeat {
  receivedAt: number
  heartbeat: HeartbeatMessage
}

/** Sends heartbeats, answers those of other nodes as a voter, and keeps the last heartbeat of each node. */
export class Heartbeats {
  private readonly options: HeartbeatsOptions
  private readonly received = new Map<Incarnation, ReceivedHeartbeat>()
  /** Send times of the heartbeats within the last lease, in monotonic ms. */
  private sentTimes: number[] = []
  private recipients: Incarnation[] = []
  private voters = new Set<Incarnation>()
  private version = 0
  private isHolder = false

  /** @param options - see the type */
  constructor (options: HeartbeatsOptions) {
    this.options = options
  }

  /** @param assignment - the newest known assignment */
  adopt (assignment: Assignment): void {
    const { self, timing, network, clock } = this.options
    const holders = assignment.holders.filter(holder => holder.incarnation !== self)
    for (const holder of holders) network.addPeer(holder.incarnation, holder.peer)
    this.version = assignment.version
    this.voters = new Set(allVoters(assignment))
    this.isHolder = holders.length < assignment.holders.length
    const others = holders.map(holder => holder.incarnation)
    const peers = choosePeers(self, others.filter(other => !this.voters.has(other)), timing.maxPeers)
    this.recipients = [...this.voters, ...peers].filter(other => other !== self)
    for (const [other, { receivedAt }] of this.received) {
      if (clock.now() - receivedAt > timing.lease && !others.includes(other)) this.received.delete(other)
    }
  }

  /** Sends one heartbeat to each voter and peer. */
  send (): void {
    const { clock, network, timing, lease, load, rulesVersion } = this.options
    const sentAt = clock.now()
    this.sentTimes = this.sentTimes.filter(at => sentAt - at <= timing.lease)
    this.sentTimes.push(sentAt)
    this.grantOwnPromise(sentAt)
    const base = { kind: 'heartbeat', version: this.version, sentAt, countsBy: lease.activeVoters, rules: rulesVersion(), load: load() } as const
    for (const other of this.recipients) {
      network.send(other, { ...base, wantsPromise: this.isHolder && this.voters.has(other) })
    }
  }

  /**
   * Records a heartbeat and answers it if the sender asks for a promise.
   *
   * @param from - the sender
   * @param heartbeat - its message
   */
  receive (from: Incarnation, heartbeat: HeartbeatMessage): void {
    const { clock, network, voter } = this.options
    const receivedAt = clock.now()
    const previous = this.received.get(from)
    if (previous === undefined || previous.heartbeat.sentAt <= heartbeat.sentAt) this.received.set(from, { receivedAt, heartbeat })
    if (!heartbeat.wantsPromise) return
    const granted = voter.promise(from, heartbeat.version, receivedAt)
    network.send(from, { kind: 'promise', version: this.version, sentAt: heartbeat.sentAt, granted })
  }

  /**
   * Adds a promise to the lease if it answers a heartbeat that this process sent within the last lease.
   *
   * @param from - the voter
   * @param promise - its answer
   */
  receivePromise (from: Incarnation, promise: PromiseMessage): void {
    if (!promise.granted || !this.sentTimes.includes(promise.sentAt)) return
    this.options.lease.addPromise(from, promise.sentAt, this.options.clock.now())
  }

  /**
   * @param within - ms
   * @returns nodes whose heartbeat arrived within that time, including this node
   */
  heardWithin (within: number): Set<Incarnation> {
    const now = this.options.clock.now()
    const heard = new Set([this.options.self])
    for (const [other, { receivedAt }] of this.received) {
      if (now - receivedAt < within) heard.add(other)
    }
    return heard
  }

  /**
   * @param other - a node
   * @returns when its last heartbeat arrived, in monotonic ms; `-Infinity` when none did
   */
  lastHeardAt (other: Incarnation): number {
    return this.received.get(other)?.receivedAt ?? -Infinity
  }

  /** @returns for this node and each node that reported the same version, the voter set that its lease relies on */
  activeVoters (): Map<Incarnation, readonly Incarnation[]> {
    const activeVoters = new Map<Incarnation, readonly Incarnation[]>()
    for (const [other, { heartbeat }] of this.received) {
      if (heartbeat.version === this.version) activeVoters.set(other, heartbeat.countsBy)
    }
    return activeVoters.set(this.options.self, this.options.lease.activeVoters)
  }

  private grantOwnPromise (now: number): void {
    const { self, voter, lease } = this.options
    if (!this.isHolder || !this.voters.has(self)) return
    if (voter.promise(self, this.version, now)) lease.addPromise(self, now, now)
  }
}
