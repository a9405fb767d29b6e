import { KEY_SHARDS, shardResource } from '@rattanstep/core'
import type { Assignment, Clock, Incarnation, KeyClaimMessage, KeySettleMessage, KeyTransferMessage, KeyVerdict, Message, Network, Timer } from '@rattanstep/core'
import type { Log, Metrics } from '@rattanstep/telemetry'
import { FRONT_EVENTS } from '../types/events.js'
import { KeyRecords } from './KeyRecords.js'
import type { KeyRecord } from './KeyRecords.js'
import { addTransferPart } from './ShardOwnership.js'
import type { ShardOwnership } from './ShardOwnership.js'
import { isCertainlyNew, KEY_TIMES, keyRetention } from './keyTimes.js'
import type { KeyTimes } from './keyTimes.js'
import { KeyTransfers, transferId } from './KeyTransfers.js'

/** Options of `KeyHome`. */
export interface KeyHomeOptions {
  self: Incarnation
  network: Network
  clock: Clock
  log: Log
  metrics: Metrics
  /** Returns whether this node may admit for a shard's resource at this moment. */
  mayAdmit: (resource: string) => boolean
  /**
   * Returns whether this node owned a resource without interruption between two versions of the assignment, of which it
   * did not see all that lie between them (default: this is never known).
   */
  ownedThroughout?: (resource: string, from: number, to: number) => boolean
  times?: KeyTimes
  /** Maximum number of stored keys (default 250,000). */
  maxKeys?: number
  /** Maximum total size of stored answers in bytes (default 64 MiB). */
  maxAnswerBytes?: number
}

const DEFAULT_MAX_KEYS = 250_000
const DEFAULT_MAX_ANSWER_BYTES = 64 * 1024 * 1024

/** Time that claims wait for the keys of the previous home, in ms. */
const TRANSFER_WAIT_MS = 500

/** Interval between removals of expired keys, in ms. */
const SWEEP_PERIOD_MS = 10_000

/** Stores the idempotency keys of the shards that this node owns, and decides which requests may run. */
export class KeyHome {
  private readonly records: KeyRecords
  private readonly transfers: KeyTransfers
  private readonly ownerships = new Map<number, ShardOwnership>()
  /** Epochs of the shards that this node is no longer the home of and whose next home is not known yet, by shard. */
  private readonly endedEpochs = new Map<number, number>()
  /** Shards that no node has ever owned. Empty unless this node has seen every version of the assignment. */
  private readonly neverOwned = new Set<number>()
  private readonly times: KeyTimes
  private timer: Timer | null = null

  constructor (private readonly options: KeyHomeOptions) {
    const { clock, network, metrics, maxKeys = DEFAULT_MAX_KEYS, maxAnswerBytes = DEFAULT_MAX_ANSWER_BYTES } = options
    this.times = options.times ?? KEY_TIMES
    this.records = new KeyRecords({ clock, retention: keyRetention(this.times), maxKeys, maxAnswerBytes })
    this.transfers = new KeyTransfers({ network, clock })
    metrics.gauge('front_keys', () => this.records.size)
  }

  /** Starts the periodic removal of expired keys. */
  start (): void {
    this.timer ??= this.options.clock.repeat(SWEEP_PERIOD_MS, () => { this.records.sweep() })
  }

  /** Stops the removal of expired keys and all transfers. */
  stop (): void {
    this.timer?.cancel()
    this.timer = null
    this.transfers.stop()
  }

  /** Whether no shard waits for its next home and every transfer was confirmed. A planned stop waits for this. */
  get isHandedOver (): boolean {
    return this.transfers.size === 0 && this.endedEpochs.size === 0
  }

  /**
   * Handles a message if it is meant for a home of keys.
   *
   * @param from - sender
   * @param message - a message of any kind
   * @returns whether the message was handled
   */
  receive (from: Incarnation, message: Message): boolean {
    if (message.kind === 'key-claim') this.handleClaim(from, message)
    else if (message.kind === 'key-settle') this.handleSettle(from, message)
    else if (message.kind === 'key-transfer') this.handleTransfer(from, message)
    else if (message.kind === 'key-ack') return this.transfers.confirm(message.id)
    else return false
    return true
  }

  /**
   * Applies a new assignment: hands over the keys of shards that this node lost, and becomes the home of those it gained.
   *
   * @param assignment - the newest assignment
   * @param previous - the assignment that was applied before
   */
  assignmentChanged (assignment: Assignment, previous: Assignment): void {
    const isNext = assignment.version === previous.version + 1
    if (previous.version === 0 && isNext) for (let shard = 0; shard < KEY_SHARDS; shard++) this.neverOwned.add(shard)
    if (!isNext) this.neverOwned.clear()
    for (let shard = 0; shard < KEY_SHARDS; shard++) this.updateShard(shard, assignment, previous)
    for (const shard of [...this.neverOwned]) {
      if (assignment.owners[shardResource(shard)] !== undefined) this.neverOwned.delete(shard)
    }
  }

  private updateShard (shard: number, assignment: Assignment, previous: Assignment): void {
    const resource = shardResource(shard)
    const owner = assignment.owners[resource]
    const isNext = assignment.version === previous.version + 1
    const ownership = this.ownerships.get(shard)
    if (owner === this.options.self) {
      const isContinuous = isNext || this.options.ownedThroughout?.(resource, previous.version, assignment.version) === true
      if (ownership === undefined || !isContinuous) this.startOwnership(shard, assignment.version)
      return
    }
    if (!isNext) this.clearShard(shard)
    else if (ownership !== undefined) this.endOwnership(shard, ownership)
    this.handOver(shard, owner, assignment.version)
  }

  private startOwnership (shard: number, version: number): void {
    const { clock, log } = this.options
    const epoch = this.knownEpoch(shard)
    this.endedEpochs.delete(shard)
    const ownership: ShardOwnership = {
      startVersion: version,
      epoch: epoch ?? clock.wall(),
      epochEndsAt: clock.now() + keyRetention(this.times),
      isComplete: epoch !== null,
      awaitsTransfer: epoch === null,
      receivedParts: new Map()
    }
    this.ownerships.set(shard, ownership)
    if (ownership.isComplete) return
    clock.schedule(TRANSFER_WAIT_MS, () => {
      if (!ownership.awaitsTransfer) return
      ownership.awaitsTransfer = false
      log.write(FRONT_EVENTS.keysNotReceived, { shard, version, window: this.times.window })
    })
  }

  /**
   * Returns the epoch of a shard that needs no transfer because no node was its home before, or because this node was
   * its last home; `null` when the keys must come from another node.
   */
  private knownEpoch (shard: number): number | null {
    if (this.neverOwned.has(shard)) return 0
    return this.endedEpochs.get(shard) ?? null
  }

  private endOwnership (shard: number, ownership: ShardOwnership): void {
    ownership.awaitsTransfer = false
    this.ownerships.delete(shard)
    this.endedEpochs.set(shard, this.epochOf(ownership))
  }

  private clearShard (shard: number): void {
    this.ownerships.delete(shard)
    this.endedEpochs.delete(shard)
    this.records.dropShard(shard)
  }

  private handOver (shard: number, owner: Incarnation | undefined, version: number): void {
    const epoch = this.endedEpochs.get(shard)
    if (epoch === undefined || owner === undefined) return
    this.transfers.start(owner, { shard, version, epoch }, this.records.entries(shard))
    this.clearShard(shard)
  }

  private handleClaim (from: Incarnation, message: KeyClaimMessage): void {
    const { shard, key, id } = message
    // Read the wall clock before checking the lease, so that the time never lies after the end of the lease.
    const wall = this.options.clock.wall()
    const ownership = this.ownerships.get(shard)
    if (ownership === undefined || !this.options.mayAdmit(shardResource(shard))) {
      this.sendVerdict(from, id, 'not-home')
      return
    }
    if (ownership.awaitsTransfer || this.records.isFreed(id)) return
    const record = this.records.find(shard, key)
    if (record !== undefined) this.sendVerdict(from, id, verdictOf(record, message), record)
    else this.sendVerdict(from, id, this.admitNewKey(ownership, message, wall))
  }

  private admitNewKey (ownership: ShardOwnership, { shard, key, id, fingerprint, firstSent }: KeyClaimMessage, wall: number): KeyVerdict {
    if (!isCertainlyNew({ firstSent, wall, epoch: this.epochOf(ownership) }, this.times)) return 'forgotten'
    if (this.records.isFull) return 'full'
    this.records.add(shard, key, { claim: id, fingerprint, outcome: 'running', answer: null, claimedAt: this.options.clock.now() })
    return 'first'
  }

  private sendVerdict (to: Incarnation, id: string, verdict: KeyVerdict, record?: KeyRecord): void {
    const outcome = record === undefined || record.outcome === 'running' ? 'unknown' : record.outcome
    this.options.metrics.counter('front_key_verdicts', { verdict }).add()
    this.options.network.send(to, { kind: 'key-verdict', id, verdict, outcome, answer: verdict === 'settled' ? record?.answer ?? null : null })
  }

  private handleSettle (from: Incarnation, message: KeySettleMessage): void {
    const { shard, key, claim, fingerprint, outcome, answer } = message
    const ownership = this.ownerships.get(shard)
    if (ownership === undefined || ownership.awaitsTransfer) return
    const record = this.records.find(shard, key)
    if (outcome === 'not-run') this.records.free(shard, key, claim)
    else if (record === undefined && !this.records.isFull) this.records.add(shard, key, { claim, fingerprint, outcome, answer, claimedAt: this.options.clock.now() })
    else if (record?.claim === claim && record.outcome === 'running') this.records.settle(record, outcome, answer)
    this.options.network.send(from, { kind: 'key-ack', id: claim })
  }

  private handleTransfer (from: Incarnation, message: KeyTransferMessage): void {
    const { shard, version, epoch } = message
    const ownership = this.ownerships.get(shard)
    if (ownership === undefined || ownership.startVersion < version) return
    this.options.network.send(from, { kind: 'key-ack', id: transferId(message) })
    if (ownership.startVersion !== version || ownership.isComplete) return
    const entries = addTransferPart(ownership, message)
    if (entries === null) return
    this.records.merge(shard, entries)
    ownership.awaitsTransfer = false
    ownership.isComplete = true
    ownership.epoch = epoch
  }

  private epochOf (ownership: ShardOwnership): number {
    if (this.options.clock.now() > ownership.epochEndsAt) ownership.epoch = 0
    return ownership.epoch
  }
}

function verdictOf (record: KeyRecord, { id, fingerprint }: KeyClaimMessage): KeyVerdict {
  if (record.fingerprint !== fingerprint) return 'clash'
  if (record.outcome !== 'running') return 'settled'
  return record.claim === id ? 'first' : 'running'
}
