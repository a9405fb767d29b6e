import type { Clock, Timer } from '@rattanstep/core'
import type { Job } from '../types/job.js'
import type { Answer, DownMessage, Question, UpMessage } from '../types/links.js'
import { LINK_BEAT, LINK_SILENCE } from '../types/limits.js'
import type { Advice } from '../types/ports.js'
import type { Wish } from './Entry.js'
import type { WriteOutcome } from './HandInWriter.js'
import type { Link, Linker } from './Link.js'
import type { Log } from '@rattanstep/telemetry'
import { detach } from './detach.js'

/** A link to the decider. */
export type UpLink = Link<DownMessage, UpMessage>
/** Makes links to the decider. */
export type UpLinker = Linker<DownMessage, UpMessage>

/** What a follower does on the decider's behalf, and what it hears. */
export interface FollowerEvents {
  advise: (question: { step: string, workers: string[], timeout: number }) => Promise<Advice>
  /** Version of the configuration in force at the decider. */
  configuration: (version: number) => void
  ownConfiguration: () => number
}

/** How following ends. */
export type FollowEnd = 'closed' | 'silent' | 'called'

/** This node's end of the link to the decider. */
export class Follower {
  /** Place in the line of successors, from 0. */
  rank: number | undefined
  private heardAt: number
  /** ms since the store last answered the decider, as of its last message. */
  deciderStoreSilence = Infinity
  private readonly calls = new Map<number, (answer: unknown) => void>()
  private nextCall = 1
  private timer: Timer | undefined
  private ended = false
  private end!: (end: FollowEnd) => void
  private readonly ending = new Promise<FollowEnd>(resolve => { this.end = resolve })
  private greeted!: (outcome: 'welcomed' | 'turned-away') => void
  private readonly greeting = new Promise<'welcomed' | 'turned-away'>(resolve => { this.greeted = resolve })

  constructor (private readonly link: UpLink, private readonly options: {
    clock: Clock
    log: Log
    events: FollowerEvents
    node: string
    dataCentre: string
    strength: number
    /** ms since the store last answered this node */
    silence: () => number
    /** Newest fencing token that this node knows of. */
    term: () => number
    /** ms since this process started. */
    age: number
  }) {
    this.heardAt = options.clock.now()
    link.onMessage = message => { this.take(message) }
    link.onClose = () => { this.finish('closed') }
  }

  /**
   * @param timeout - ms
   * @returns whether the other end decides and takes this node in
   */
  async greet (timeout: number): Promise<'welcomed' | 'turned-away' | 'silent' | 'refused'> {
    const { node, dataCentre, strength, age, clock } = this.options
    this.link.send({ kind: 'hello', node, dataCentre, strength, age })
    const silent = clock.sleep(timeout).then(() => 'silent' as const)
    const closed = this.ending.then(() => 'refused' as const)
    const outcome = await Promise.race([this.greeting, silent, closed])
    if (outcome === 'welcomed') this.timer = clock.repeat(LINK_BEAT, () => { this.beat() })
    return outcome
  }

  /** @returns how following ended, once it has */
  async whenEnded (): Promise<FollowEnd> {
    return await this.ending
  }

  /** Hands a job on that is on record. */
  tellJob (job: Job): void {
    this.link.send({ kind: 'job', job })
  }

  /** Hands a cancellation on that is on record. */
  tellCancel (id: string): void {
    this.link.send({ kind: 'cancel', id })
  }

  /**
   * @param question - for the decider
   * @param timeout - ms
   * @returns the answer, or `undefined` when none came
   */
  async ask (question: Question, timeout: number): Promise<Answer | undefined> {
    return await this.call<Answer>(call => ({ kind: 'ask', call, question }), timeout)
  }

  /**
   * @param wish - to be put on record by the decider's node
   * @param patience - ms
   * @returns what came of it, or `undefined` when the wish was not sent
   */
  async record (wish: Wish, patience: number): Promise<WriteOutcome | undefined> {
    if (this.ended) return undefined
    return await this.call<WriteOutcome>(call => ({ kind: 'record', call, wish, patience }), patience) ?? 'unknown'
  }

  private async call<Value> (write: (call: number) => UpMessage, timeout: number): Promise<Value | undefined> {
    if (this.ended) return undefined
    const call = this.nextCall++
    return await new Promise<Value | undefined>(resolve => {
      const timer = this.options.clock.schedule(timeout, () => { this.settle(call, undefined) })
      this.calls.set(call, value => {
        timer.cancel()
        resolve(value as Value | undefined)
      })
      this.link.send(write(call))
    })
  }

  close (): void {
    this.link.close()
    this.finish('closed')
  }

  private take (message: DownMessage): void {
    this.heardAt = this.options.clock.now()
    switch (message.kind) {
      case 'welcome': return this.greeted('welcomed')
      case 'elsewhere': return this.greeted('turned-away')
      case 'beat':
        this.rank = message.rank
        this.deciderStoreSilence = message.storeSilence
        return this.options.events.configuration(message.configuration)
      case 'answer': return this.settle(message.call, message.answer)
      case 'recorded': return this.settle(message.call, message.outcome)
      case 'advise':
        return detach(this.advise(message), this.options.log, 'advice')
      case 'succeed': this.finish('called')
    }
  }

  private async advise (message: Extract<DownMessage, { kind: 'advise' }>): Promise<void> {
    const advice = await this.options.events.advise(message)
    if (!this.ended) this.link.send({ kind: 'advised', call: message.call, advice })
  }

  private beat (): void {
    const { clock, silence, events, term } = this.options
    if (clock.now() - this.heardAt > LINK_SILENCE) {
      this.finish('silent')
      this.link.close()
      return
    }
    this.link.send({ kind: 'beat', storeSilence: Math.min(silence(), Number.MAX_SAFE_INTEGER), term: term(), configuration: events.ownConfiguration() })
  }

  private settle (call: number, answer: unknown): void {
    const resolve = this.calls.get(call)
    this.calls.delete(call)
    resolve?.(answer)
  }

  private finish (end: FollowEnd): void {
    if (this.ended) return
    this.ended = true
    this.timer?.cancel()
    for (const call of [...this.calls.keys()]) this.settle(call, undefined)
    this.end(end)
  }
}
