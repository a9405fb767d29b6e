import type { Clock, KeyEntry, Outcome, StoredAnswer } from '@rattanstep/core'

/** One remembered key. */
export interface KeyRecord {
  claim: string
  fingerprint: string
  outcome: Outcome | 'running'
  answer: StoredAnswer | null
  /** Monotonic ms of the claim. */
  claimedAt: number
}

/** What bounds a memory of keys. */
export interface KeyRecordsOptions {
  clock: Clock
  /** Milliseconds for which a key is remembered after its claim. */
  retention: number
  /** Most keys. */
  maxKeys: number
  /** Most bytes of answers; the answers that were not asked for longest are dropped first. */
  maxAnswerBytes: number
}

/** Claims that are known to have ended without a run are kept apart, up to this many. */
const MAX_FREED_CLAIMS = 20_000

/** The keys that one home remembers, by shard. Keys are dropped by age only; answers also by size. */
export class KeyRecords {
  private readonly shards = new Map<number, Map<string, KeyRecord>>()
  private readonly answers = new Map<KeyRecord, number>()
  private readonly freedClaims = new Set<string>()
  private answerBytes = 0
  private count = 0

  constructor (private readonly options: KeyRecordsOptions) {}

  /** Number of keys. */
  get size (): number {
    return this.count
  }

  /** Whether no further key can be taken. */
  get isFull (): boolean {
    if (this.count >= this.options.maxKeys) this.sweep()
    return this.count >= this.options.maxKeys
  }

  /**
   * @param shard - range of the key
   * @param key - the key
   * @returns what is remembered of it; its answer counts as asked for
   */
  find (shard: number, key: string): KeyRecord | undefined {
    const found = this.shards.get(shard)?.get(key)
    if (found !== undefined) this.markUsed(found)
    return found
  }

  /**
   * Remembers a key that is not remembered yet.
   *
   * @param shard - range of the key
   * @param key - the key
   * @param record - what to remember of it
   */
  add (shard: number, key: string, record: KeyRecord): void {
    const keys = this.shards.get(shard) ?? new Map<string, KeyRecord>()
    this.shards.set(shard, keys)
    keys.set(key, record)
    this.count++
    if (record.answer !== null) this.storeAnswer(record, record.answer)
  }

  /**
   * Notes how the run of a remembered key ended.
   *
   * @param record - the key
   * @param outcome - how it ended
   * @param answer - what repeats get, if it is known
   */
  settle (record: KeyRecord, outcome: Outcome, answer: StoredAnswer | null): void {
    record.outcome = outcome
    if (answer !== null) this.storeAnswer(record, answer)
  }

  /**
   * Forgets a key whose claim ended without a run.
   *
   * @param shard - range of the key
   * @param key - the key
   * @param claim - the claim; a key that another claim holds stays
   */
  free (shard: number, key: string, claim: string): void {
    this.markFreed(claim)
    const keys = this.shards.get(shard)
    if (keys?.get(key)?.claim !== claim) return
    keys.delete(key)
    this.count--
  }

  /**
   * Remembers that a claim will never be used, so that a late copy of it takes no key.
   *
   * @param claim - identifier of the claim
   */
  markFreed (claim: string): void {
    this.freedClaims.add(claim)
    if (this.freedClaims.size <= MAX_FREED_CLAIMS) return
    const [oldest] = this.freedClaims
    this.freedClaims.delete(oldest!)
  }

  /**
   * @param claim - identifier of a claim
   * @returns whether it ended without a run
   */
  isFreed (claim: string): boolean {
    return this.freedClaims.has(claim)
  }

  /**
   * @param shard - a range of keys
   * @returns every key of it, oldest first, as it is handed over
   */
  entries (shard: number): KeyEntry[] {
    const now = this.options.clock.now()
    return [...this.shards.get(shard) ?? []].map(([key, { claim, fingerprint, outcome, answer, claimedAt }]) =>
      ({ key, claim, fingerprint, outcome, answer, age: now - claimedAt }))
  }

  /**
   * Takes in keys that another home handed over. What is remembered already stays.
   *
   * @param shard - range of the keys
   * @param entries - the keys
   */
  merge (shard: number, entries: KeyEntry[]): void {
    const now = this.options.clock.now()
    for (const { key, claim, fingerprint, outcome, answer, age } of entries) {
      if (this.isFreed(claim) || this.shards.get(shard)?.has(key) === true) continue
      this.add(shard, key, { claim, fingerprint, outcome, answer, claimedAt: now - age })
    }
  }

  /** @param shard - a range whose keys are forgotten */
  dropShard (shard: number): void {
    const keys = this.shards.get(shard)
    if (keys === undefined) return
    for (const record of keys.values()) this.dropAnswer(record)
    this.count -= keys.size
    this.shards.delete(shard)
  }

  /** Forgets the keys that are too old to be repeated. */
  sweep (): void {
    const oldestKept = this.options.clock.now() - this.options.retention
    for (const keys of this.shards.values()) {
      for (const [key, record] of keys) {
        if (record.claimedAt >= oldestKept) break
        this.dropAnswer(record)
        keys.delete(key)
        this.count--
      }
    }
  }

  private storeAnswer (record: KeyRecord, answer: StoredAnswer): void {
    this.dropAnswer(record)
    record.answer = answer
    const size = sizeOf(answer)
    this.answers.set(record, size)
    this.answerBytes += size
    for (const [leastRecent] of this.answers) {
      if (this.answerBytes <= this.options.maxAnswerBytes) return
      this.dropAnswer(leastRecent)
    }
  }

  private markUsed (record: KeyRecord): void {
    const size = this.answers.get(record)
    if (size === undefined) return
    this.answers.delete(record)
    this.answers.set(record, size)
  }

  private dropAnswer (record: KeyRecord): void {
    this.answerBytes -= this.answers.get(record) ?? 0
    this.answers.delete(record)
    record.answer = null
  }
}

function sizeOf (answer: StoredAnswer): number {
  return answer.headers.reduce((sum, [name, value]) => sum + name.length + value.length, answer.body.length)
}
