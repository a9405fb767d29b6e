import { describe, test } from 'node:test'
import { expect } from 'earl'
import { DeferredJobs } from '../../src/openJobs/DeferredJobs.js'
import type { DeferredJob } from '../../src/openJobs/DeferredJobs.js'
import { JobSelection } from '../../src/openJobs/JobSelection.js'
import { OpenJobTotals } from '../../src/openJobs/OpenJobTotals.js'
import { weighJob } from '../../src/openJobs/weighJob.js'
import { stepOf } from '../support/CellRig.js'

function deferredJob (id: string, changes: Partial<DeferredJob> = {}): DeferredJob {
  return { id, weight: 100, holder: 'r', route: 'r', isStarted: false, priority: 1, isBeyondRate: false, ...changes }
}

function drain (jobs: DeferredJobs): string[] {
  const ids: string[] = []
  for (let job = jobs.findFirst(() => true); job !== undefined; job = jobs.findFirst(() => true)) ids.push(jobs.remove(job.id)!.id)
  return ids
}

describe('deferred jobs', () => {
  test('are loaded by urgency, those that have started first, and otherwise in the order of their submission', () => {
    const jobs = new DeferredJobs()
    for (const job of [deferredJob('late'), deferredJob('urgent', { priority: 0 }), deferredJob('later'), deferredJob('started', { isStarted: true })]) jobs.add(job)
    expect(drain(jobs)).toEqual(['started', 'urgent', 'late', 'later'])
  })

  test('of a holder without room do not hold up those of others', () => {
    const jobs = new DeferredJobs()
    for (const job of [deferredJob('a', { priority: 0 }), deferredJob('b', { holder: 'other' })]) jobs.add(job)
    expect(jobs.findFirst(({ holder }) => holder === 'other')?.id).toEqual('b')
  })

  // Guards against ids that take memory without a bound, and against jobs that are forgotten for it.
  test('beyond the number to keep are dropped from the least urgent on, and counted until they are found again', () => {
    const jobs = new DeferredJobs(2)
    expect(jobs.add(deferredJob('a'))).toEqual(undefined)
    jobs.add(deferredJob('b'))
    expect(jobs.add(deferredJob('c'))?.id).toEqual('c')
    expect(jobs.add(deferredJob('urgent', { priority: 0 }))?.id).toEqual('a')
    expect([jobs.size, jobs.countWaiting('r'), jobs.hasDropped, jobs.hasDroppedOf('r'), jobs.hasDroppedOf('other')]).toEqual([2, 4, true, true, false])
    expect(drain(jobs)).toEqual(['urgent', 'b'])
    jobs.startScan()
    expect([jobs.countWaiting('r'), jobs.hasDropped]).toEqual([2, true])
    for (const id of ['a', 'c']) jobs.add(deferredJob(id))
    jobs.endScan()
    expect([jobs.countWaiting('r'), jobs.hasDropped, jobs.hasDroppedOf('r')]).toEqual([2, false, false])
  })

  test('that have started are never dropped', () => {
    const jobs = new DeferredJobs(1)
    for (const id of ['a', 'b', 'c']) expect(jobs.add(deferredJob(id, { isStarted: true }))).toEqual(undefined)
    expect(jobs.size).toEqual(3)
  })
})

describe('the weight of open jobs', () => {
  test('leaves room for a holder that holds nothing, whatever the others hold or have waiting', () => {
    const totals = new OpenJobTotals()
    while (totals.hasRoom({ weight: 10, holder: 'a' }, 1000)) totals.add({ weight: 10, holder: 'a' }, 'held')
    totals.add({ weight: 100_000, holder: 'a' }, 'waiting')
    expect([totals.held, totals.hasRoom({ weight: 10, holder: 'b' }, 1000)]).toEqual([500, true])
    const report = totals.report(1000, { now: 0, hasDropped: () => false })
    expect(report).toEqual({ used: 500, limit: 1000, rate: 0, holders: [{ holder: 'a', used: 100_500 }] })
  })

  test('is not reported while little is in use', () => {
    const totals = new OpenJobTotals()
    totals.add({ weight: 100, holder: 'a' }, 'held')
    expect(totals.report(1000, { now: 0, hasDropped: () => false })).toEqual(undefined)
  })

  test('counts texts beyond Latin-1 twice', () => {
    const weightOf = (spec: string): number => weighJob({ spec, steps: [stepOf({})], route: 'r' }).weight
    expect(weightOf('x'.repeat(100)) - weightOf('')).toEqual(100)
    expect(weightOf('ж'.repeat(100)) - weightOf('')).toEqual(200)
  })
})

// Guards against a successor that reads all records into memory before it decides which it can hold.
describe('the selection of jobs at a takeover', () => {
  const add = (selection: JobSelection, id: string, { acceptedAt = 0, hasRuns = false, isStarted = false }: { acceptedAt?: number, hasRuns?: boolean, isStarted?: boolean } = {}): void => {
    selection.add({ job: { id, route: id.startsWith('u') ? 'urgent' : 'r', spec: '', steps: [stepOf({})], acceptedAt }, version: 1 }, { isStarted: isStarted || hasRuns, hasRuns, stored: isStarted || hasRuns ? { record: { phase: 'open' }, length: 16, pages: 0 } : undefined })
  }
  const weight = weighJob({ spec: '', steps: [stepOf({})], route: 'r' }).weight
  const createSelection = (jobs: number): { selection: JobSelection, deferred: string[] } => {
    const deferred: string[] = []
    return { deferred, selection: new JobSelection({ room: jobs * weight, priorityOf: ({ job }) => job.route === 'urgent' ? 0 : 1, onDeferred: ({ id }) => { deferred.push(id) } }) }
  }

  test('keeps all jobs for which there is room, in order of their submission', () => {
    const { selection, deferred } = createSelection(3)
    for (const [index, id] of ['a', 'u', 'b'].entries()) add(selection, id, { acceptedAt: 3 - index })
    expect([selection.selected.map(({ recorded }) => recorded.job.id), deferred]).toEqual([['b', 'u', 'a'], []])
  })

  test('keeps jobs with runs, started and urgent ones before others', () => {
    const { selection, deferred } = createSelection(3)
    for (const id of ['a', 'b', 'u']) add(selection, id)
    add(selection, 'started', { isStarted: true })
    add(selection, 'running', { hasRuns: true })
    expect(selection.selected.map(({ recorded }) => recorded.job.id).sort()).toEqual(['running', 'started', 'u'])
    expect(deferred.sort()).toEqual(['a', 'b'])
  })

  test('keeps jobs with runs even if there is no room', () => {
    const { selection } = createSelection(0)
    for (const id of ['a', 'b']) add(selection, id, { hasRuns: true })
    expect(selection.selected.length).toEqual(2)
  })
})
