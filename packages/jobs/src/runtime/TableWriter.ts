import type { Check, Transaction, Write } from '@rattanstep/core'
import { commitSettled } from '@rattanstep/platform'
import type { CommitResult } from '@rattanstep/platform'
import { EVENTS } from '../types/events.js'
import type { Context } from '../types/context.js'

/** Rows that change in one transaction. The version of each written row should be checked too. */
export interface Change {
  checks: Check[]
  writes: Write[]
}

interface QueuedChange {
  change: Change
  resolve: (settlement: CommitResult) => void
}

const MS_PER_SECOND = 1000
const MAX_COMMIT_ATTEMPTS = 3

/** Groups changes into few transactions and limits their rate. Changes are written in the order of the calls. */
export class TableWriter {
  private readonly context: Context
  private readonly queue: QueuedChange[] = []
  private isWriting = false
  private lastWriteAt = -Infinity
  private operationCount = 0

  /** @param context - table, clock, random numbers, log and tuning */
  constructor (context: Context) {
    this.context = context
  }

  /**
   * @param change - rows to change
   * @returns whether the change was committed, and if not, what is known about it
   */
  async write (change: Change): Promise<CommitResult> {
    return await new Promise(resolve => {
      this.queue.push({ change, resolve })
      if (!this.isWriting) this.startDrain()
    })
  }

  private startDrain (): void {
    this.drain().catch((error: unknown) => {
      this.context.log.write(EVENTS.fault, { step: 'write', error: String(error) })
    })
  }

  private async drain (): Promise<void> {
    this.isWriting = true
    // Changes made in the same turn of the event loop join the first group.
    await Promise.resolve()
    try {
      while (this.queue.length > 0) await this.writeGroup()
    } finally {
      // Reset in the same turn as the last check of the queue, so that no change is left in the queue.
      this.isWriting = false
    }
  }

  private async writeGroup (): Promise<void> {
    const { clock, tuning } = this.context
    const pause = this.lastWriteAt + MS_PER_SECOND / tuning.maxWritesPerSecond - clock.now()
    if (pause > 0) await clock.sleep(pause)
    const group = this.takeGroup()
    const settlement = await this.commit(group.map(entry => entry.change))
    if (settlement.outcome === 'conflict' && group.length > 1) return await this.writeSeparately(group)
    for (const entry of group) entry.resolve(settlement)
  }

  private async writeSeparately (group: QueuedChange[]): Promise<void> {
    for (const entry of group) entry.resolve(await this.commit([entry.change]))
  }

  private async commit (changes: Change[]): Promise<CommitResult> {
    const { clock, random, self, table, log } = this.context
    this.lastWriteAt = clock.now()
    const transaction: Transaction = {
      operation: `${self}#${this.operationCount++}`,
      checks: uniqueChecks(changes),
      writes: changes.flatMap(change => change.writes)
    }
    const settlement = await commitSettled(table, transaction, { clock, random, attempts: MAX_COMMIT_ATTEMPTS })
    if (settlement.outcome !== 'committed') {
      log.write(EVENTS.tableFault, { action: transaction.operation, outcome: settlement.outcome, reason: settlement.message })
    }
    return settlement
  }

  private takeGroup (): QueuedChange[] {
    const group: QueuedChange[] = []
    const written = new Set<string>()
    const checked = new Map<string, number>()
    let rows = 0
    for (const entry of this.queue) {
      const { checks, writes } = entry.change
      rows += writes.length
      if (group.length > 0 && rows > this.context.tuning.maxRowsPerWrite) break
      if (conflictsWithGroup(entry.change, written, checked)) break
      for (const write of writes) written.add(write.key)
      for (const check of checks) checked.set(check.key, check.version)
      group.push(entry)
    }
    this.queue.splice(0, group.length)
    return group
  }
}

function conflictsWithGroup (change: Change, written: Set<string>, checked: Map<string, number>): boolean {
  if (change.writes.some(write => written.has(write.key))) return true
  return change.checks.some(check => written.has(check.key) || (checked.get(check.key) ?? check.version) !== check.version)
}

function uniqueChecks (changes: Change[]): Check[] {
  const checks = new Map<string, Check>()
  for (const change of changes) {
    for (const check of change.checks) checks.set(check.key, check)
  }
  return [...checks.values()]
}
