import type { Assignment, Clock, HeartbeatMessage, Incarnation, Load, Network, PromiseMessage } from '@rattanstep/core'
import type { Timing } from '../types/Timing.js'
import { choosePeers } from '../utils/choosePeers.js'
import { namedVoters } from '../utils/quorum.js'
import type { Lease } from './Lease.js'
import type { Voter } from './Voter.js'

/** What a heartbeat sender needs. */
export interface HeartbeatsOptions {
  self: Incarnation
  network: Network
  clock: Clock
  timing: Timing
  lease: Lease
  voter: Voter
  load: () => Load | null
  rules: () => number
}

interface Sighting {
  at: number
  heartbeat: HeartbeatMessage
}

/** Sends heartbeats, answers them as a voter, and knows who was heard of. */
export class Heartbeats {
  private readonly options: HeartbeatsOptions
  private readonly sightings = new Map<Incarnation, Sighting>()
  /** When the heartbeats of the last lease were sent. */
  private sent: number[] = []
  private recipients: Incarnation[] = []
  private voters = new Set<Incarnation>()
  private version = 0
  private isHolder = false

  /** @param options - see the type */
  constructor (options: HeartbeatsOptions) {
    this.options = options
  }

  /** @param assignment - the assignment followed from now on */
  adopt (assignment: Assignment): void {
    const { self, timing, network, clock } = this.options
    const holders = assignment.holders.filter(holder => holder.incarnation !== self)
    for (const holder of holders) network.addPeer(holder.incarnation, holder.peer)
    this.version = assignment.version
    this.voters = new Set(namedVoters(assignment))
    this.isHolder = holders.length < assignment.holders.length
    const others = holders.map(holder => holder.incarnation)
    const peers = choosePeers(self, others.filter(other => !this.voters.has(other)), timing.peers)
    this.recipients = [...this.voters, ...peers].filter(other => other !== self)
    for (const [other, { at }] of this.sightings) {
      if (clock.now() - at > timing.lease && !others.includes(other)) this.sightings.delete(other)
    }
  }

  /** Sends one heartbeat to each voter and peer. */
  beat (): void {
    const { clock, network, timing, lease, load, rules } = this.options
    const sentAt = clock.now()
    this.sent = this.sent.filter(at => sentAt - at <= timing.lease)
    this.sent.push(sentAt)
    this.promiseSelf(sentAt)
    const base = { kind: 'heartbeat', version: this.version, sentAt, countsBy: lease.countsBy, rules: rules(), load: load() } as const
    for (const other of this.recipients) {
      network.send(other, { ...base, wantsPromise: this.isHolder && this.voters.has(other) })
    }
  }

  /**
   * Takes note of a heartbeat and answers it.
   *
   * @param from - the sender
   * @param heartbeat - what it said
   */
  hear (from: Incarnation, heartbeat: HeartbeatMessage): void {
    const { clock, network, voter } = this.options
    const at = clock.now()
    const known = this.sightings.get(from)
    if (known === undefined || known.heartbeat.sentAt <= heartbeat.sentAt) this.sightings.set(from, { at, heartbeat })
    if (!heartbeat.wantsPromise) return
    const granted = voter.promise(from, heartbeat.version, at)
    network.send(from, { kind: 'promise', version: this.version, sentAt: heartbeat.sentAt, granted })
  }

  /**
   * Takes a promise, if it answers a heartbeat of this process.
   *
   * @param from - the voter
   * @param promise - its answer
   */
  takePromise (from: Incarnation, promise: PromiseMessage): void {
    if (!promise.granted || !this.sent.includes(promise.sentAt)) return
    this.options.lease.grant(from, promise.sentAt, this.options.clock.now())
  }

  /**
   * @param within - ms
   * @returns nodes heard of within that time, with this node
   */
  heard (within: number): Set<Incarnation> {
    const now = this.options.clock.now()
    const heard = new Set([this.options.self])
    for (const [other, { at }] of this.sightings) {
      if (now - at < within) heard.add(other)
    }
    return heard
  }

  /**
   * @param other - a node
   * @returns when it was last heard, in monotonic ms; `-Infinity` when never
   */
  lastHeard (other: Incarnation): number {
    return this.sightings.get(other)?.at ?? -Infinity
  }

  /** @returns for each node that follows the same version, this one too, the voters it counts by */
  countsBy (): Map<Incarnation, readonly Incarnation[]> {
    const said = new Map<Incarnation, readonly Incarnation[]>()
    for (const [other, { heartbeat }] of this.sightings) {
      if (heartbeat.version === this.version) said.set(other, heartbeat.countsBy)
    }
    return said.set(this.options.self, this.options.lease.countsBy)
  }

  private promiseSelf (now: number): void {
    const { self, voter, lease } = this.options
    if (!this.isHolder || !this.voters.has(self)) return
    if (voter.promise(self, this.version, now)) lease.grant(self, now, now)
  }
}
