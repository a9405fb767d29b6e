import type { Clock, KeyEntry, Outcome, StoredAnswer } from '@rattanstep/core'

/** One remembered key. */
export interface RememberedKey {
  claim: string
  fingerprint: string
  outcome: Outcome | 'running'
  answer: StoredAnswer | null
  /** Monotonic ms of the claim. */
  claimedAt: number
}

/** What bounds a memory of keys. */
export interface KeyMemoryOptions {
  clock: Clock
  /** Milliseconds for which a key is remembered after its claim. */
  retention: number
  /** Most keys. */
  keys: number
  /** Most bytes of answers; the answers that were not asked for longest are dropped first. */
  answerBytes: number
}

/** Claims that are known to have ended without a run are kept apart, up to this many. */
const MOST_FREED = 20_000

/** The keys that one home remembers, by shard. Keys are dropped by age only; answers also by size. */
export class KeyMemory {
  private readonly shards = new Map<number, Map<string, RememberedKey>>()
  private readonly answers = new Map<RememberedKey, number>()
  private readonly freed = new Set<string>()
  private bytes = 0
  private count = 0

  constructor (private readonly options: KeyMemoryOptions) {}

  /** Number of keys. */
  get size (): number {
    return this.count
  }

  /** Whether no further key can be taken. */
  get isFull (): boolean {
    if (this.count >= this.options.keys) this.sweep()
    return this.count >= this.options.keys
  }

  /**
   * @param shard - range of the key
   * @param key - the key
   * @returns what is remembered of it; its answer counts as asked for
   */
  find (shard: number, key: string): RememberedKey | undefined {
    const found = this.shards.get(shard)?.get(key)
    if (found !== undefined) this.touch(found)
    return found
  }

  /**
   * Remembers a key that is not remembered yet.
   *
   * @param shard - range of the key
   * @param key - the key
   * @param remembered - what to remember of it
   */
  add (shard: number, key: string, remembered: RememberedKey): void {
    const keys = this.shards.get(shard) ?? new Map<string, RememberedKey>()
    this.shards.set(shard, keys)
    keys.set(key, remembered)
    this.count++
    if (remembered.answer !== null) this.keep(remembered, remembered.answer)
  }

  /**
   * Notes how the run of a remembered key ended.
   *
   * @param remembered - the key
   * @param outcome - how it ended
   * @param answer - what repeats get, if it is known
   */
  settle (remembered: RememberedKey, outcome: Outcome, answer: StoredAnswer | null): void {
    remembered.outcome = outcome
    if (answer !== null) this.keep(remembered, answer)
  }

  /**
   * Forgets a key whose claim ended without a run.
   *
   * @param shard - range of the key
   * @param key - the key
   * @param claim - the claim; a key that another claim holds stays
   */
  free (shard: number, key: string, claim: string): void {
    this.noteFreed(claim)
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
  noteFreed (claim: string): void {
    this.freed.add(claim)
    if (this.freed.size <= MOST_FREED) return
    const [oldest] = this.freed
    this.freed.delete(oldest!)
  }

  /**
   * @param claim - identifier of a claim
   * @returns whether it ended without a run
   */
  isFreed (claim: string): boolean {
    return this.freed.has(claim)
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
  drop (shard: number): void {
    const keys = this.shards.get(shard)
    if (keys === undefined) return
    for (const remembered of keys.values()) this.dropAnswer(remembered)
    this.count -= keys.size
    this.shards.delete(shard)
  }

  /** Forgets the keys that are too old to be repeated. */
  sweep (): void {
    const oldest = this.options.clock.now() - this.options.retention
    for (const keys of this.shards.values()) {
      for (const [key, remembered] of keys) {
        if (remembered.claimedAt >= oldest) break
        this.dropAnswer(remembered)
        keys.delete(key)
        this.count--
      }
    }
  }

  private keep (remembered: RememberedKey, answer: StoredAnswer): void {
    this.dropAnswer(remembered)
    remembered.answer = answer
    const size = sizeOf(answer)
    this.answers.set(remembered, size)
    this.bytes += size
    for (const [eldest] of this.answers) {
      if (this.bytes <= this.options.answerBytes) return
      this.dropAnswer(eldest)
    }
  }

  private touch (remembered: RememberedKey): void {
    const size = this.answers.get(remembered)
    if (size === undefined) return
    this.answers.delete(remembered)
    this.answers.set(remembered, size)
  }

  private dropAnswer (remembered: RememberedKey): void {
    this.bytes -= this.answers.get(remembered) ?? 0
    this.answers.delete(remembered)
    remembered.answer = null
  }
}

function sizeOf (answer: StoredAnswer): number {
  return answer.headers.reduce((sum, [name, value]) => sum + name.length + value.length, answer.body.length)
}
