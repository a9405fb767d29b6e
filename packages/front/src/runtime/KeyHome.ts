import { KEY_SHARDS, shardResource } from '@rattanstep/core'
import type { Assignment, Clock, Incarnation, KeyClaimMessage, KeySettleMessage, KeyTransferMessage, KeyVerdict, Message, Network, Timer } from '@rattanstep/core'
import type { Log, Metrics } from '@rattanstep/telemetry'
import { FRONT_EVENTS } from '../types/events.js'
import { KeyMemory } from './KeyMemory.js'
import type { RememberedKey } from './KeyMemory.js'
import { takePart } from './KeyTenure.js'
import type { KeyTenure } from './KeyTenure.js'
import { isCertainlyNew, KEY_TIMES, retention } from './keyTimes.js'
import type { KeyTimes } from './keyTimes.js'
import { KeyTransfers, transferId } from './KeyTransfers.js'

/** What a home of keys works with. */
export interface KeyHomeOptions {
  self: Incarnation
  network: Network
  clock: Clock
  log: Log
  metrics: Metrics
  /** Whether this node may admit for a shard's resource at this very moment. */
  mayAdmit: (resource: string) => boolean
  /** Whether this node owned a resource without a break between two versions of which it skipped some (default: never known). */
  ownedThroughout?: (resource: string, from: number, to: number) => boolean
  times?: KeyTimes
  /** Most keys remembered (default 250,000). */
  keys?: number
  /** Most bytes of remembered answers (default 64 MiB). */
  answerBytes?: number
}

const DEFAULT_KEYS = 250_000
const DEFAULT_ANSWER_BYTES = 64 * 1024 * 1024

/** Time that claims wait for the keys of the home before, in ms. */
const TRANSFER_WAIT_MS = 500

/** Time between looks for keys that are too old, in ms. */
const SWEEP_PERIOD_MS = 10_000

/** Remembers the idempotency keys of the shards that this node owns. */
export class KeyHome {
  private readonly memory: KeyMemory
  private readonly transfers: KeyTransfers
  private readonly tenures = new Map<number, KeyTenure>()
  /** Shards that this node was the home of and whose next home is not known yet, with their epochs. */
  private readonly left = new Map<number, number>()
  /** Shards that nobody can have owned before, as far as every version was seen. */
  private readonly unused = new Set<number>()
  private readonly times: KeyTimes
  private timer: Timer | null = null

  constructor (private readonly options: KeyHomeOptions) {
    const { clock, network, metrics, keys = DEFAULT_KEYS, answerBytes = DEFAULT_ANSWER_BYTES } = options
    this.times = options.times ?? KEY_TIMES
    this.memory = new KeyMemory({ clock, retention: retention(this.times), keys, answerBytes })
    this.transfers = new KeyTransfers({ network, clock })
    metrics.gauge('front_keys', () => this.memory.size)
  }

  /** Begins to forget old keys. */
  start (): void {
    this.timer ??= this.options.clock.repeat(SWEEP_PERIOD_MS, () => { this.memory.sweep() })
  }

  /** Ends all periodic work. */
  stop (): void {
    this.timer?.cancel()
    this.timer = null
    this.transfers.stop()
  }

  /** Whether every key that was handed over has arrived; a planned stop waits for it. */
  get isHandedOver (): boolean {
    return this.transfers.size === 0 && this.left.size === 0
  }

  /**
   * @param from - sender
   * @param message - any message
   * @returns whether it was one for a home of keys
   */
  receive (from: Incarnation, message: Message): boolean {
    if (message.kind === 'key-claim') this.claim(from, message)
    else if (message.kind === 'key-settle') this.settle(from, message)
    else if (message.kind === 'key-transfer') this.take(from, message)
    else if (message.kind === 'key-ack') return this.transfers.confirm(message.id)
    else return false
    return true
  }

  /**
   * Follows a new assignment: hands over the keys of shards that were lost and begins anew with those gained.
   *
   * @param assignment - the newest
   * @param previous - the one followed before
   */
  assignmentChanged (assignment: Assignment, previous: Assignment): void {
    const isNext = assignment.version === previous.version + 1
    if (previous.version === 0 && isNext) for (let shard = 0; shard < KEY_SHARDS; shard++) this.unused.add(shard)
    if (!isNext) this.unused.clear()
    for (let shard = 0; shard < KEY_SHARDS; shard++) this.follow(shard, assignment, previous)
    for (const shard of [...this.unused]) {
      if (assignment.owners[shardResource(shard)] !== undefined) this.unused.delete(shard)
    }
  }

  private follow (shard: number, assignment: Assignment, previous: Assignment): void {
    const resource = shardResource(shard)
    const owner = assignment.owners[resource]
    const isNext = assignment.version === previous.version + 1
    const tenure = this.tenures.get(shard)
    if (owner === this.options.self) {
      const unbroken = isNext || this.options.ownedThroughout?.(resource, previous.version, assignment.version) === true
      if (tenure === undefined || !unbroken) this.begin(shard, assignment.version)
      return
    }
    if (!isNext) this.forget(shard)
    else if (tenure !== undefined) this.leave(shard, tenure)
    this.handOver(shard, owner, assignment.version)
  }

  private begin (shard: number, version: number): void {
    const { clock, log } = this.options
    const epoch = this.knownEpoch(shard)
    this.left.delete(shard)
    const tenure: KeyTenure = {
      since: version,
      epoch: epoch ?? clock.wall(),
      epochEndsAt: clock.now() + retention(this.times),
      complete: epoch !== null,
      awaiting: epoch === null,
      parts: new Map()
    }
    this.tenures.set(shard, tenure)
    if (tenure.complete) return
    clock.schedule(TRANSFER_WAIT_MS, () => {
      if (!tenure.awaiting) return
      tenure.awaiting = false
      log.write(FRONT_EVENTS.keysForgotten, { shard, version, window: this.times.window })
    })
  }

  /** The epoch of a home that needs nobody's keys: nobody was the home before, or this node was and nobody since. */
  private knownEpoch (shard: number): number | null {
    if (this.unused.has(shard)) return 0
    return this.left.get(shard) ?? null
  }

  private leave (shard: number, tenure: KeyTenure): void {
    tenure.awaiting = false
    this.tenures.delete(shard)
    this.left.set(shard, this.epochOf(tenure))
  }

  private forget (shard: number): void {
    this.tenures.delete(shard)
    this.left.delete(shard)
    this.memory.drop(shard)
  }

  private handOver (shard: number, owner: Incarnation | undefined, version: number): void {
    const epoch = this.left.get(shard)
    if (epoch === undefined || owner === undefined) return
    this.transfers.start(owner, { shard, version, epoch }, this.memory.entries(shard))
    this.forget(shard)
  }

  private claim (from: Incarnation, message: KeyClaimMessage): void {
    const { shard, key, id } = message
    // The wall clock is read before the lease is looked at, so that it never shows a time after the lease's end.
    const wall = this.options.clock.wall()
    const tenure = this.tenures.get(shard)
    if (tenure === undefined || !this.options.mayAdmit(shardResource(shard))) {
      this.answer(from, id, 'not-home')
      return
    }
    if (tenure.awaiting || this.memory.isFreed(id)) return
    const known = this.memory.find(shard, key)
    if (known !== undefined) this.answer(from, id, verdictOf(known, message), known)
    else this.answer(from, id, this.admit(tenure, message, wall))
  }

  private admit (tenure: KeyTenure, { shard, key, id, fingerprint, firstSent }: KeyClaimMessage, wall: number): KeyVerdict {
    if (!isCertainlyNew({ firstSent, wall, epoch: this.epochOf(tenure) }, this.times)) return 'forgotten'
    if (this.memory.isFull) return 'full'
    this.memory.add(shard, key, { claim: id, fingerprint, outcome: 'running', answer: null, claimedAt: this.options.clock.now() })
    return 'first'
  }

  private answer (to: Incarnation, id: string, verdict: KeyVerdict, known?: RememberedKey): void {
    const outcome = known === undefined || known.outcome === 'running' ? 'unknown' : known.outcome
    this.options.metrics.counter('front_key_verdicts', { verdict }).add()
    this.options.network.send(to, { kind: 'key-verdict', id, verdict, outcome, answer: verdict === 'settled' ? known?.answer ?? null : null })
  }

  private settle (from: Incarnation, message: KeySettleMessage): void {
    const { shard, key, claim, fingerprint, outcome, answer } = message
    const tenure = this.tenures.get(shard)
    if (tenure === undefined || tenure.awaiting) return
    const known = this.memory.find(shard, key)
    if (outcome === 'not-run') this.memory.free(shard, key, claim)
    else if (known === undefined && !this.memory.isFull) this.memory.add(shard, key, { claim, fingerprint, outcome, answer, claimedAt: this.options.clock.now() })
    else if (known?.claim === claim && known.outcome === 'running') this.memory.settle(known, outcome, answer)
    this.options.network.send(from, { kind: 'key-ack', id: claim })
  }

  private take (from: Incarnation, message: KeyTransferMessage): void {
    const { shard, version, epoch } = message
    const tenure = this.tenures.get(shard)
    if (tenure === undefined || tenure.since < version) return
    this.options.network.send(from, { kind: 'key-ack', id: transferId(message) })
    if (tenure.since !== version || tenure.complete) return
    const entries = takePart(tenure, message)
    if (entries === null) return
    this.memory.merge(shard, entries)
    tenure.awaiting = false
    tenure.complete = true
    tenure.epoch = epoch
  }

  private epochOf (tenure: KeyTenure): number {
    if (this.options.clock.now() > tenure.epochEndsAt) tenure.epoch = 0
    return tenure.epoch
  }
}

function verdictOf (known: RememberedKey, { id, fingerprint }: KeyClaimMessage): KeyVerdict {
  if (known.fingerprint !== fingerprint) return 'clash'
  if (known.outcome !== 'running') return 'settled'
  return known.claim === id ? 'first' : 'running'
}
