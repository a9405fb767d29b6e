import { Err, hash32, KEY_SHARDS, Ok, shardResource } from '@rattanstep/core'
import type { Clock, Incarnation, KeySettleMessage, KeyVerdictMessage, Message, Network, Outcome, Result, StoredAnswer, Timer } from '@rattanstep/core'
import type { Log, Metrics } from '@rattanstep/telemetry'
import { FRONT_EVENTS } from '../types/events.js'
import { KeyRegistry } from './KeyRegistry.js'
import type { ClaimResult, KeyClaim, ClaimFailure } from './KeyRegistry.js'

/** Options of `KeyClient`. */
export interface KeyClientOptions {
  self: Incarnation
  network: Network
  clock: Clock
  log: Log
  metrics: Metrics
  /** Returns the owner of a resource in the newest known assignment, or `null` when it has none. */
  ownerOf: (resource: string) => Incarnation | null
  /** Milliseconds to wait for a verdict (default 1500). */
  verdictTimeout?: number
}

/** Interval at which an unanswered claim is sent again, in ms. */
const CLAIM_RESEND_MS = 100

const DEFAULT_VERDICT_TIMEOUT_MS = 1500

/** Interval at which an unconfirmed settle is sent again, in ms. */
const SETTLE_RESEND_MS = 250

/** Number of times that a settle is sent again before it is given up. */
const MAX_SETTLE_RESENDS = 120

interface PendingClaim {
  settle: (result: Result<ClaimResult, ClaimFailure>) => void
}

/**
 * Claims and settles keys at the node that is the home of each key. Messages may be lost, delayed, repeated or
 * reordered, so claims and settles are sent again until the home answers.
 */
export class KeyClient extends KeyRegistry {
  private readonly pendingClaims = new Map<string, PendingClaim>()
  private readonly pendingSettles = new Map<string, Timer>()
  private sequence = 0

  constructor (private readonly options: KeyClientOptions) {
    super()
    options.metrics.gauge('front_key_settles', () => this.pendingSettles.size)
  }

  override async claim (claim: KeyClaim, signal: AbortSignal): Promise<Result<ClaimResult, ClaimFailure>> {
    const { clock, self, verdictTimeout = DEFAULT_VERDICT_TIMEOUT_MS } = this.options
    const id = `${self}.k${(this.sequence++).toString(36)}`
    if (signal.aborted) return Err('no-verdict')
    return await new Promise(resolve => {
      const send = (): void => { this.send(claim.key, shard => ({ kind: 'key-claim', id, shard, ...claim })) }
      const resend = clock.repeat(CLAIM_RESEND_MS, send)
      const cancel = (): void => {
        // The home may already have granted the claim. The settle frees the key there, whichever of the two arrives first.
        pending.settle(Err('no-verdict'))
        this.sendSettle(claim, id, 'not-run', null)
      }
      const deadline = clock.schedule(verdictTimeout, cancel)
      const pending: PendingClaim = {
        settle: result => {
          this.pendingClaims.delete(id)
          resend.cancel()
          deadline.cancel()
          signal.removeEventListener('abort', cancel)
          resolve(result)
        }
      }
      this.pendingClaims.set(id, pending)
      signal.addEventListener('abort', cancel, { once: true })
      send()
    })
  }

  override settle (claim: KeyClaim, granted: ClaimResult, outcome: Outcome, answer: StoredAnswer | null): void {
    this.sendSettle(claim, granted.claim, outcome, answer)
  }

  /**
   * Handles a message if it answers a claim or a settle of this node.
   *
   * @param _from - sender
   * @param message - a message of any kind
   * @returns whether the message was handled
   */
  receive (_from: Incarnation, message: Message): boolean {
    if (message.kind === 'key-verdict') return this.handleVerdict(message)
    if (message.kind !== 'key-ack') return false
    const timer = this.pendingSettles.get(message.id)
    timer?.cancel()
    return this.pendingSettles.delete(message.id)
  }

  override get isSettled (): boolean {
    return this.pendingSettles.size === 0
  }

  /** Stops sending the settles that were not confirmed. */
  stop (): void {
    for (const timer of this.pendingSettles.values()) timer.cancel()
    this.pendingSettles.clear()
  }

  private handleVerdict ({ id, verdict, outcome, answer }: KeyVerdictMessage): boolean {
    // The receiver is no longer the home. The claim is sent again to the node that is the home by then.
    if (verdict !== 'not-home') this.pendingClaims.get(id)?.settle(Ok({ verdict, claim: id, outcome, answer }))
    return true
  }

  private sendSettle ({ key, fingerprint }: KeyClaim, claim: string, outcome: Outcome, answer: StoredAnswer | null): void {
    const { clock, log } = this.options
    let resends = 0
    const send = (): void => {
      this.send(key, (shard): KeySettleMessage => ({ kind: 'key-settle', shard, key, claim, fingerprint, outcome, answer }))
    }
    this.pendingSettles.set(claim, clock.repeat(SETTLE_RESEND_MS, () => {
      if (resends++ < MAX_SETTLE_RESENDS) {
        send()
        return
      }
      this.pendingSettles.get(claim)?.cancel()
      this.pendingSettles.delete(claim)
      log.write(FRONT_EVENTS.settleUnconfirmed, { claim, outcome })
    }))
    send()
  }

  private send (key: string, message: (shard: number) => Message): void {
    const { network, ownerOf } = this.options
    const shard = hash32(key) % KEY_SHARDS
    const home = ownerOf(shardResource(shard))
    if (home !== null) network.send(home, message(shard))
  }
}
