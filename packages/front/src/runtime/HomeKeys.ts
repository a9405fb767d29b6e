import { Err, hash32, KEY_SHARDS, Ok, shardResource } from '@rattanstep/core'
import type { Clock, Incarnation, KeySettleMessage, KeyVerdictMessage, Message, Network, Outcome, Result, StoredAnswer, Timer } from '@rattanstep/core'
import type { Log, Metrics } from '@rattanstep/telemetry'
import { FRONT_EVENTS } from '../types/events.js'
import { Keys } from './Keys.js'
import type { KeyAnswer, KeyClaim, KeySilence } from './Keys.js'

/** What `HomeKeys` works with. */
export interface HomeKeysOptions {
  self: Incarnation
  network: Network
  clock: Clock
  log: Log
  metrics: Metrics
  /** Owner of a resource in the newest known assignment, or `null`. */
  ownerOf: (resource: string) => Incarnation | null
  /** Milliseconds that a verdict is waited for (default 1500). */
  patience?: number
}

/** Time after which a message that was not answered is sent again, in ms. */
const RESEND_MS = 100

const DEFAULT_PATIENCE_MS = 1500

/** Time between repeats of a settle that was not confirmed, in ms. */
const SETTLE_REPEAT_MS = 250

/** Repeats of a settle before it is given up. */
const MOST_SETTLE_REPEATS = 120

interface Question {
  settle: (result: Result<KeyAnswer, KeySilence>) => void
}

/** Asks the home of each key over messages that may be lost, late, repeated or out of order. */
export class HomeKeys extends Keys {
  private readonly questions = new Map<string, Question>()
  private readonly settles = new Map<string, Timer>()
  private sequence = 0

  constructor (private readonly options: HomeKeysOptions) {
    super()
    options.metrics.gauge('front_key_settles', () => this.settles.size)
  }

  override async claim (claim: KeyClaim, signal: AbortSignal): Promise<Result<KeyAnswer, KeySilence>> {
    const { clock, self, patience = DEFAULT_PATIENCE_MS } = this.options
    const id = `${self}.k${(this.sequence++).toString(36)}`
    if (signal.aborted) return Err('no-verdict')
    return await new Promise(resolve => {
      const send = (): void => { this.send(claim.key, shard => ({ kind: 'key-claim', id, shard, ...claim })) }
      const resend = clock.repeat(RESEND_MS, send)
      const giveUp = (): void => {
        // A verdict may still be on its way: the key is freed at its home, whatever arrives first there.
        question.settle(Err('no-verdict'))
        this.conclude(claim, id, 'not-run', null)
      }
      const deadline = clock.schedule(patience, giveUp)
      const question: Question = {
        settle: result => {
          this.questions.delete(id)
          resend.cancel()
          deadline.cancel()
          signal.removeEventListener('abort', giveUp)
          resolve(result)
        }
      }
      this.questions.set(id, question)
      signal.addEventListener('abort', giveUp, { once: true })
      send()
    })
  }

  override settle (claim: KeyClaim, held: KeyAnswer, outcome: Outcome, answer: StoredAnswer | null): void {
    this.conclude(claim, held.claim, outcome, answer)
  }

  /**
   * @param _from - sender
   * @param message - any message
   * @returns whether it was one for this front's claims
   */
  receive (_from: Incarnation, message: Message): boolean {
    if (message.kind === 'key-verdict') return this.judge(message)
    if (message.kind !== 'key-ack') return false
    const timer = this.settles.get(message.id)
    timer?.cancel()
    return this.settles.delete(message.id)
  }

  override get isSettled (): boolean {
    return this.settles.size === 0
  }

  /** Gives up what was not confirmed. */
  stop (): void {
    for (const timer of this.settles.values()) timer.cancel()
    this.settles.clear()
  }

  private judge ({ id, verdict, outcome, answer }: KeyVerdictMessage): boolean {
    // A node that is no home any more says so; the next repeat goes to the home of then.
    if (verdict !== 'not-home') this.questions.get(id)?.settle(Ok({ verdict, claim: id, outcome, answer }))
    return true
  }

  private conclude ({ key, fingerprint }: KeyClaim, claim: string, outcome: Outcome, answer: StoredAnswer | null): void {
    const { clock, log } = this.options
    let repeats = 0
    const send = (): void => {
      this.send(key, (shard): KeySettleMessage => ({ kind: 'key-settle', shard, key, claim, fingerprint, outcome, answer }))
    }
    this.settles.set(claim, clock.repeat(SETTLE_REPEAT_MS, () => {
      if (repeats++ < MOST_SETTLE_REPEATS) {
        send()
        return
      }
      this.settles.get(claim)?.cancel()
      this.settles.delete(claim)
      log.write(FRONT_EVENTS.settleLost, { claim, outcome })
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
