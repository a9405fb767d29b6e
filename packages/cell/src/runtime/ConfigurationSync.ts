import type { Clock } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import { CELL_EVENTS } from '../types/events.js'
import type { ConfigurationMessage } from '../types/links.js'
import type { RecordStore } from '../types/records.js'
import type { ConfigurationFeed } from './ConfigurationFeed.js'
import { detach } from './detach.js'

/** Time for the store to answer a read, 4 to 6 ms as a rule, before another node is asked as well. */
const READ_TIMEOUT_MS = 300
/** Time for another node to answer; the slowest links take 250 ms in each direction. */
const ANSWER_TIMEOUT_MS = 600
/**
 * Minimum interval between two attempts. Versions may follow each other every 0.33 s; together with two heartbeats of a distant follower (480 ms each)
 * and the timeouts above, a version is still in force within 3 s.
 */
const ATTEMPT_INTERVAL_MS = 400
/** Maximum interval between attempts to get the same version, for example from nodes of an earlier version of the program, which don't answer. */
const MAX_ATTEMPT_INTERVAL_MS = 3200
/** Maximum length of a text that is sent. A longer message would close the link. */
const MAX_TEXT_CHARS = 400_000

/**
 * Maximum age of the confirmation of a configuration by which a key counts as unknown for good. Together with the error of a node's estimate of the
 * store's clock (125 ms on slow links), it is less than the 3 s in which a version must be in force. Without faults, the age is at most 2.1 s at a node
 * that the store answers (two polls of 1 s) and 2.6 s at one that relies on the decider's heartbeats.
 */
const MAX_CONFIRMATION_AGE_MS = 2700

/** Version of the configuration that another node has in force. */
export interface AnnouncedVersion {
  /** Undefined in heartbeats of nodes of an earlier version of the program. */
  version: number | undefined
  /** ms on the store's clock at which the store confirmed to that node that no newer version exists; undefined if that is not known. */
  confirmedAt?: number | undefined
}

/** Gets versions of the configuration that other nodes have in force: from the store, or over a link if the store does not answer. */
export class ConfigurationSync {
  /** Newest version that another node has in force. */
  private announcedVersion = 0
  /**
   * Time on the store's clock in ms at which the store confirmed to the decider that it has no newer version than this node. An age would not do: a
   * heartbeat may wait for seconds in a link or in a paused process.
   */
  private confirmedByDeciderAt = -Infinity
  private isBusy = false
  /** Monotonic ms. */
  private lastAttemptAt = -Infinity
  /** Attempts to get the announced version. */
  private attempts = 0
  private resolveAnswer: (() => void) | undefined

  constructor (private readonly options: { feed: ConfigurationFeed, store: Pick<RecordStore, 'now'>, clock: Clock, log: Log }) {}

  /** @returns ms since it was confirmed that the store has no newer version, by the store or by the decider; `Infinity` if it never was */
  get confirmationAge (): number {
    const { feed, store, clock } = this.options
    const storeTime = store.now()
    // Before its first answer, the store's clock is not known here.
    const sinceDecider = storeTime === 0 ? Infinity : storeTime - this.confirmedByDeciderAt
    return Math.max(0, Math.min(clock.now() - feed.confirmedAt, sinceDecider))
  }

  /** @returns ms on the store's clock at which it was confirmed that the store has no newer version; undefined if it never was */
  get confirmedAt (): number | undefined {
    const confirmedAt = this.options.store.now() - this.confirmationAge
    return Number.isFinite(confirmedAt) ? confirmedAt : undefined
  }

  /** @returns whether a key that is not in the configuration in force was in no version for as long as a version takes to be in force */
  get isConfirmed (): boolean {
    return !this.isBehind && this.confirmationAge <= MAX_CONFIRMATION_AGE_MS
  }

  private get isBehind (): boolean {
    return this.announcedVersion > this.options.feed.currentVersion
  }

  /**
   * Handles the version that another node has in force.
   *
   * @param announced - the version
   * @param send - sends a message to that node
   */
  handleVersion ({ version, confirmedAt }: AnnouncedVersion, send: (message: ConfigurationMessage) => void): void {
    const { feed, clock, log } = this.options
    if (version === feed.currentVersion && confirmedAt !== undefined) this.confirmedByDeciderAt = Math.max(this.confirmedByDeciderAt, confirmedAt)
    if (version === undefined || !(version > feed.currentVersion)) return
    if (version > this.announcedVersion) {
      this.announcedVersion = version
      this.attempts = 0
    }
    const interval = Math.min(MAX_ATTEMPT_INTERVAL_MS, ATTEMPT_INTERVAL_MS * 2 ** Math.max(0, this.attempts - 1))
    if (this.isBusy || clock.now() - this.lastAttemptAt < interval) return
    this.isBusy = true
    this.lastAttemptAt = clock.now()
    this.attempts++
    detach(this.update(send).finally(() => { this.isBusy = false }), log, 'configuration')
  }

  /** Handles a message of another node; `send` answers it. */
  handleMessage (message: ConfigurationMessage, from: string, send: (message: ConfigurationMessage) => void): void {
    const { feed, log } = this.options
    if (message.kind === 'configuration-wanted') {
      if (feed.currentVersion > message.newerThan && feed.text.length <= MAX_TEXT_CHARS) send({ kind: 'configuration-text', text: feed.text })
    } else if (typeof message.text !== 'string') log.write(CELL_EVENTS.badMessage, { from, problem: 'the text of the configuration is missing' })
    else {
      feed.apply(message.text, 'link')
      this.resolveAnswer?.()
    }
  }

  private async update (send: (message: ConfigurationMessage) => void): Promise<void> {
    const { feed, clock } = this.options
    const hasStoreAnswered = await Promise.race([feed.refresh(), clock.sleep(READ_TIMEOUT_MS).then(() => false)])
    if (hasStoreAnswered || !this.isBehind) return
    const answered = new Promise<void>(resolve => { this.resolveAnswer = resolve })
    send({ kind: 'configuration-wanted', newerThan: feed.currentVersion })
    await Promise.race([answered, clock.sleep(ANSWER_TIMEOUT_MS)])
    this.resolveAnswer = undefined
  }
}
