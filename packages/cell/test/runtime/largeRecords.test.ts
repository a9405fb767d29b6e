import { describe, test } from 'node:test'
import { expect } from 'earl'
import { recordRowName } from '../../src/runtime/rowNames.js'
import { createSteadyRig } from '../support/CellRig.js'
import type { CellRig } from '../support/CellRig.js'

const SIZE = { cpu: 100, memory: 10, accelerators: 0 }
const CHECKPOINT = '0.00000000000001'

/** Starts a job of 800 tasks whose runs last, each with a checkpoint, on workers with ids as long as those of the platform. */
async function startLargeJob ({ checkpoint = CHECKPOINT, count = 1000 } = {}): Promise<{ rig: CellRig, id: string }> {
  const rig = await createSteadyRig({ workers: 0, behaviour: task => ({ duration: task.startsWith('0000000000000001') ? 60_000 : 300, ending: 'done', size: SIZE }) })
  for (let index = 0; index < 12; index++) rig.addWorker(`worker-${index.toString().padStart(9, '0')}`, 8000)
  await rig.run(500)
  const { id } = await rig.submit(rig.nodes[0]!, [{ count, size: SIZE, checkpoints: true, estimate: 60_000 }])
  await rig.until(() => runningOf(rig, id) >= Math.min(count, 800))
  for (const task of rig.decider!.cell.activeDecider!.registry.jobs.get(id)!.occurrences[0]!.steps[0]!.tasks.touched()) task.checkpoint = checkpoint
  return { rig, id }
}

function runningOf (rig: CellRig, id: string): number {
  return [...rig.fleet.workers.values()].reduce((sum, { running }) => sum + [...running.keys()].filter(task => task.startsWith(id)).length, 0)
}

/** Crashes workers, which come back under their ids. */
async function crashWorkers (rig: CellRig, count: number): Promise<void> {
  for (const worker of [...rig.fleet.workers.values()].slice(0, count)) worker.crash()
  await rig.run(12_000)
}

function recordBytes (rig: CellRig, id: string): number {
  return [...rig.tables.rows.values()].filter(row => row.part === 'd' && row.key.startsWith(id)).reduce((sum, { value }) => sum + value.length, 0)
}

describe('a job whose record exceeds a row', () => {
  // Guards against a cell that starts nothing any more: the store rejected the record of one job again and again, and those of all others waited behind it.
  test('goes on, and so do others, after crashes of workers have made its record grow', async () => {
    const { rig, id } = await startLargeJob()
    await crashWorkers(rig, 10)
    const small = await rig.submit(rig.nodes[0]!, [{ size: SIZE }])
    await rig.run(2000)
    expect([await rig.phase(rig.nodes[0]!, small.id), rig.tables.rejections, recordBytes(rig, id) > 49_152]).toEqual(['completed', 0, true])
    expect(runningOf(rig, id)).toEqual(800)
  })

  // Guards against a takeover that reads only a part of the record and starts the other tasks again.
  test('is continued by a successor, which starts no run again', async () => {
    const { rig, id } = await startLargeJob()
    await crashWorkers(rig, 10)
    expect(recordBytes(rig, id) > 49_152).toEqual(true)
    const starts = new Map(rig.fleet.starts)
    rig.kill(rig.decider!)
    await rig.until(() => rig.decider !== undefined)
    await rig.run(3000)
    expect([rig.fleet.starts, rig.fleet.violations, runningOf(rig, id)]).toEqual([starts, [], 800])
  })

  // Guards against gangs, which have no bound on tasks that run together: the record of one stopped the whole cell.
  test('is started if it is a gang', async () => {
    const rig = await createSteadyRig({ workers: 0, behaviour: () => ({ duration: 300, ending: 'done', size: SIZE, gang: 1000 }) })
    for (let index = 0; index < 13; index++) rig.addWorker(`worker-${index.toString().padStart(50, '0')}`, 8000)
    await rig.run(500)
    const { id } = await rig.submit(rig.nodes[0]!, [{ count: 1000, gang: true, size: SIZE }])
    await rig.until(() => runningOf(rig, id) === 1000)
    expect([recordBytes(rig, id) > 49_152, rig.tables.rejections]).toEqual([true, 0])
    await rig.run(3000)
    expect(await rig.phase(rig.nodes[0]!, id)).toEqual('completed')
  })

  // Guards against pages that stay in the store for good.
  test('leaves one row once its record fits again, and none once it is archived', async () => {
    const { rig, id } = await startLargeJob({ count: 800 })
    await crashWorkers(rig, 10)
    const rowsOf = (): number => [...rig.tables.rows.values()].filter(row => row.part === 'd' && row.key.startsWith(id)).length
    expect(rowsOf() > 1).toEqual(true)
    rig.kill(rig.decider!)
    await rig.until(() => rig.decider !== undefined)
    rig.nodes.find(node => !node.clock.isDead)!.cell.gateway.cancel(id, rig.clock.now() + 2000).catch(error => { throw error })
    await rig.until(() => rig.tables.rows.get(`${recordRowName(id).table}/d/${id}`)?.value === '{"phase":"cancelled"}')
    expect(rowsOf()).toEqual(1)
    await rig.run(10_000)
    expect(rowsOf()).toEqual(0)
  })

  // Guards against workers that stay reserved for tasks whose placements can't be recorded.
  test('that no transaction can hold leaves the workers to other jobs, and goes on once it is accepted', async () => {
    const { rig, id } = await startLargeJob()
    rig.tables.rejectedKey = id
    await crashWorkers(rig, 10)
    expect([rig.nodes.some(({ log }) => log.lines.some(({ event, fields }) => event.name === 'record-rejected' && fields.job === id)), rig.decider!.cell.activeDecider!.rejectedRecords]).toEqual([true, 1])
    const small = await rig.submit(rig.nodes[0]!, [{ count: 900, size: SIZE }])
    await rig.run(4000)
    expect(await rig.phase(rig.nodes[0]!, small.id)).toEqual('completed')
    rig.tables.rejectedKey = ''
    await rig.until(() => runningOf(rig, id) === 800)
    expect([rig.decider!.cell.activeDecider!.rejectedRecords, rig.fleet.violations]).toEqual([0, []])
  })
})
