import type { Clock, KeyEntry, Outcome, StoredAnswer } from '@rattanstep/core'

/** One stored key. */
export interface KeyRecord {
  claim: string
  fingerprint: string
  outcome: Outcome | 'running'
  answer: StoredAnswer | null
  /** Monotonic ms of the claim. */
  claimedAt: number
}

/** Options of `KeyRecords`. */
export interface KeyRecordsOptions {
  clock: Clock
  /** Milliseconds for which a key is stored after its claim. */
  retention: number
  /** Maximum number of keys. */
  maxKeys: number
  /** Maximum total size of the answers in bytes; the least recently used answers are evicted first. */
  maxAnswerBytes: number
}

/** Maximum number of claims that are remembered to have ended without a run; the oldest are forgotten first. */
const MAX_FREED_CLAIMS = 20_000

/** The keys that one home stores, by shard. Keys are evicted only when they expire; answers also to limit their total size. */
export class KeyRecords {
  private readonly shards = new Map<number, Map<string, KeyRecord>>()
  private readonly answers = new Map<KeyRecord, number>()
  private readonly freedClaims = new Set<string>()
  private answerBytes = 0
  private count = 0

  constructor (private readonly options: KeyRecordsOptions) {}

  /** Number of stored keys. */
  get size (): number {
    return this.count
  }

  /** Whether no further key can be stored, even after the removal of expired keys. */
  get isFull (): boolean {
    if (this.count >= this.options.maxKeys) this.sweep()
    return this.count >= this.options.maxKeys
  }

  /**
   * Looks a key up and marks its answer as used.
   *
   * @param shard - shard of the key
   * @param key - the key
   * @returns the record of the key, or `undefined` when it is not stored
   */
  find (shard: number, key: string): KeyRecord | undefined {
    const found = this.shards.get(shard)?.get(key)
    if (found !== undefined) this.markUsed(found)
    return found
  }

  /**
   * Stores a key that is not stored yet.
   *
   * @param shard - shard of the key
   * @param key - the key
   * @param record - the record of the key
   */
  add (shard: number, key: string, record: KeyRecord): void {
    const keys = this.shards.get(shard) ?? new Map<string, KeyRecord>()
    this.shards.set(shard, keys)
    keys.set(key, record)
    this.count++
    if (record.answer !== null) this.storeAnswer(record, record.answer)
  }

  /**
   * Records how the run of a stored key ended.
   *
   * @param record - the record of the key
   * @param outcome - outcome of the run
   * @param answer - the answer that repeats get, or `null` when it is not known
   */
  settle (record: KeyRecord, outcome: Outcome, answer: StoredAnswer | null): void {
    record.outcome = outcome
    if (answer !== null) this.storeAnswer(record, answer)
  }

  /**
   * Removes a key whose claim ended without a run.
   *
   * @param shard - shard of the key
   * @param key - the key
   * @param claim - identifier of the claim; a key that another claim holds stays
   */
  free (shard: number, key: string, claim: string): void {
    this.markFreed(claim)
    const keys = this.shards.get(shard)
    if (keys?.get(key)?.claim !== claim) return
    keys.delete(key)
    this.count--
  }

  /**
   * Records that a claim ended without a run, so that a delayed copy of it cannot take the key.
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
   * @param shard - number of the shard
   * @returns all keys of the shard in the form in which they are handed over, oldest first
   */
  entries (shard: number): KeyEntry[] {
    const now = this.options.clock.now()
    return [...this.shards.get(shard) ?? []].map(([key, { claim, fingerprint, outcome, answer, claimedAt }]) =>
      ({ key, claim, fingerprint, outcome, answer, age: now - claimedAt }))
  }

  /**
   * Adds the keys that another home handed over. Keys that are already stored, or whose claim was freed, are skipped.
   *
   * @param shard - shard of the keys
   * @param entries - the keys
   */
  merge (shard: number, entries: KeyEntry[]): void {
    const now = this.options.clock.now()
    for (const { key, claim, fingerprint, outcome, answer, age } of entries) {
      if (this.isFreed(claim) || this.shards.get(shard)?.has(key) === true) continue
      this.add(shard, key, { claim, fingerprint, outcome, answer, claimedAt: now - age })
    }
  }

  /**
   * Removes all keys of a shard.
   *
   * @param shard - number of the shard
   */
  dropShard (shard: number): void {
    const keys = this.shards.get(shard)
    if (keys === undefined) return
    for (const record of keys.values()) this.dropAnswer(record)
    this.count -= keys.size
    this.shards.delete(shard)
  }

  /** Removes the keys that are too old to be repeated. */
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
