import type { Clock, Timer } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import type { Job } from '../types/job.js'
import type { Answer, DownMessage, Question, SuccessionReason, UpMessage } from '../types/links.js'
import { CELL_EVENTS } from '../types/events.js'
import { LINK_BEAT, LINK_SILENCE } from '../types/limits.js'
import type { Advice } from '../types/ports.js'
import { detach } from './detach.js'
import type { Wish } from './Entry.js'
import type { WriteOutcome } from './HandInWriter.js'
import type { Link } from './Link.js'

/** A link to a follower. */
export type DownLink = Link<UpMessage, DownMessage>

/** ms of store silence at a follower above which it is no successor: a feed's wait and a slow answer. */
const SUCCESSOR_STORE_SILENCE = 2000

/** Share of the strongest follower's strength from which another serves as well: being replaced again soon costs more than a fifth of a processor. */
const STRONG_SHARE = 0.8

/** ms after its start for which a process has cold code and answers late; a start takes 0.3 to 0.8 s. */
const WARM_UP = 800

/** What the decider does for its followers. */
export interface FollowersEvents {
  job: (job: Job) => void
  cancel: (id: string) => void
  answer: (question: Question) => Answer
  configuration: () => number
  record: (wish: Wish, patience: number) => Promise<WriteOutcome>
  /** ms since the store last answered this node */
  storeSilence: () => number
  /** A follower knows of a newer term. */
  outrun: () => void
}

interface Entry {
  node: string
  link: DownLink
  heardAt: number
  storeSilence: number
  strength: number
  /** Monotonic ms, on this node's clock, at which the process there started. */
  startedAt: number
}

/** The nodes that follow this decider. */
export class Followers {
  private readonly entries = new Map<string, Entry>()
  private readonly calls = new Map<number, { node: string, resolve: (advice: Advice) => void }>()
  private nextCall = 1
  private readonly timer: Timer

  constructor (private readonly options: { clock: Clock, log: Log, fence: number, events: FollowersEvents }) {
    this.timer = options.clock.repeat(LINK_BEAT, () => { this.beat() })
  }

  /** @returns the nodes, in order of succession */
  get nodes (): string[] {
    return [...this.entries.keys()]
  }

  /** @returns ms since the store last answered each follower */
  storeSilences (): number[] {
    return [...this.entries.values()].map(entry => entry.storeSilence)
  }

  /** Takes a node in that has said hello. */
  add (link: DownLink, { node, strength, age }: { node: string, strength: number, age: number }): void {
    const { clock, log, fence } = this.options
    this.entries.get(node)?.link.close()
    const entry: Entry = { node, link, heardAt: clock.now(), storeSilence: 0, strength, startedAt: clock.now() - age }
    this.entries.set(node, entry)
    link.onMessage = message => { this.take(entry, message) }
    link.onClose = reason => { this.remove(entry, reason) }
    link.send({ kind: 'welcome', term: fence })
    log.write(CELL_EVENTS.followerGained, { follower: node })
  }

  /** Lets a follower ask the advice service. */
  async ask (node: string, question: { step: string, workers: string[], timeout: number }): Promise<Advice> {
    const entry = this.entries.get(node)
    if (entry === undefined) return { kind: 'failed', reason: 'the node no longer follows' }
    const call = this.nextCall++
    return await new Promise<Advice>(resolve => {
      const timer = this.options.clock.schedule(question.timeout, () => { this.settle(call, { kind: 'failed', reason: 'no answer' }) })
      this.calls.set(call, {
        node,
        resolve: advice => {
          timer.cancel()
          resolve(advice)
        }
      })
      entry.link.send({ kind: 'advise', call, ...question })
    })
  }

  /**
   * Tells one follower to claim the term.
   *
   * @param reason - why
   * @param attempt - how many were told before
   * @param silenceMax - ms of store silence at a follower above which it would be no better
   * @returns the follower told, if there is one
   */
  callSuccessor (reason: SuccessionReason, attempt: number, silenceMax = SUCCESSOR_STORE_SILENCE): string | undefined {
    const fit = (reason === 'stopping' ? this.freshest() : this.ranked()).filter(entry => entry.storeSilence < silenceMax)
    const entry = fit[attempt % Math.max(1, fit.length)]
    entry?.link.send({ kind: 'succeed', reason })
    return entry?.node
  }

  /** Closes all links. */
  close (): void {
    this.timer.cancel()
    for (const entry of [...this.entries.values()]) entry.link.close()
    for (const call of [...this.calls.keys()]) this.settle(call, { kind: 'failed', reason: 'the term has ended' })
  }

  /** @returns strength of the strongest follower that reaches the store */
  get bestStrength (): number {
    return Math.max(0, ...[...this.entries.values()].filter(entry => entry.storeSilence < SUCCESSOR_STORE_SILENCE).map(entry => entry.strength))
  }

  /** Strongest first, then in the order in which they came. */
  private ranked (): Entry[] {
    return [...this.entries.values()].sort((a, b) => b.strength - a.strength)
  }

  /** Of the strong ones the last started first: in a rolling restart those that have had their turn. The cold and the weak follow. */
  private freshest (): Entry[] {
    const ranked = this.ranked()
    const enough = (ranked[0]?.strength ?? 0) * STRONG_SHARE
    const warmBy = this.options.clock.now() - WARM_UP
    const isLess = (entry: Entry): number => entry.strength < enough ? 2 : entry.startedAt > warmBy ? 1 : 0
    return ranked.sort((a, b) => isLess(a) - isLess(b) || b.startedAt - a.startedAt)
  }

  private take (entry: Entry, message: UpMessage): void {
    const { clock, events, fence } = this.options
    entry.heardAt = clock.now()
    switch (message.kind) {
      case 'beat':
        entry.storeSilence = message.storeSilence
        if (message.term > fence) events.outrun()
        return
      case 'job': return events.job(message.job)
      case 'cancel': return events.cancel(message.id)
      case 'ask': return entry.link.send({ kind: 'answer', call: message.call, answer: events.answer(message.question) })
      case 'record': return detach(this.record(entry, message), this.options.log, 'record for a follower')
      case 'advised': return this.settle(message.call, message.advice)
      case 'hello': entry.link.send({ kind: 'welcome', term: fence })
    }
  }

  private async record (entry: Entry, message: Extract<UpMessage, { kind: 'record' }>): Promise<void> {
    entry.link.send({ kind: 'recorded', call: message.call, outcome: await this.options.events.record(message.wish, message.patience) })
  }

  private beat (): void {
    const { clock, events } = this.options
    let rank = 0
    const configuration = events.configuration()
    const storeSilence = Math.min(events.storeSilence(), Number.MAX_SAFE_INTEGER)
    for (const entry of this.ranked()) {
      if (clock.now() - entry.heardAt > LINK_SILENCE) {
        entry.link.close()
        this.remove(entry, 'silent')
        continue
      }
      const fit = entry.storeSilence < SUCCESSOR_STORE_SILENCE
      entry.link.send({ kind: 'beat', rank: fit ? rank++ : this.entries.size, configuration, storeSilence })
    }
  }

  private remove (entry: Entry, reason: string): void {
    if (this.entries.get(entry.node) !== entry) return
    this.entries.delete(entry.node)
    this.options.log.write(CELL_EVENTS.followerLost, { follower: entry.node, reason })
    for (const [call, { node }] of [...this.calls]) {
      if (node === entry.node) this.settle(call, { kind: 'failed', reason: 'the node no longer follows' })
    }
  }

  private settle (call: number, advice: Advice): void {
    const waiting = this.calls.get(call)
    this.calls.delete(call)
    waiting?.resolve(advice)
  }
}
