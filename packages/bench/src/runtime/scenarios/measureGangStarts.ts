import { SeededRandom } from '@rattanstep/core'
import type { Random, Resources } from '@rattanstep/core'
import { planPreemption } from '@rattanstep/policy'
import type { BusyWorker, PreemptionPlan, RunningTask } from '@rattanstep/policy'
import type { ScenarioOptions, Scenario } from '../../types/scenario.js'
import { formatSpread, quantile, spread } from '../../utils/statistics.js'
import { MESSAGE_DELAY_MS } from '../Scheduler.js'

const WORKER_RESOURCES: Resources = { slots: 8, cores: 16, memory: 65_536, accelerators: 0 }
const MEMBER_RESOURCES: Resources = { slots: 2, cores: 4, memory: 8192, accelerators: 0 }
const WORKER_COUNT = 30
const GANGS_PER_SEED = 200

/** Sequential messages from the plan to the start: command, answer, hold and start. */
const MESSAGES_PER_START = 4

/** Interval between ticks; the demand is noticed at the next tick. */
const TICK_MS = 20

interface GangStart {
  /** Milliseconds, or `null` when no plan was found. */
  duration: number | null
  /** Steps of the plan for each member of the gang. */
  stepsByMember: number
}

/**
 * Measures the time until a gang starts on a cell that is full of work of lower priority. The time consists of the wait for
 * the next tick, the longest step of the plan, and the messages. Steps of a plan run in parallel, with random durations.
 *
 * @param options - seeds
 * @returns one table
 */
export const measureGangStarts: Scenario = options => {
  const rows = (['checkpoint', 'stop'] as const).map(preempts => createRow(preempts, options))
  const columns = ['preempts', 'gangs started %', 'start p50 ms', 'start p99 ms', 'start max ms', 'steps a member']
  const title = 'Gangs of 4 to 16 members of 2 slots and 4 cores on a full cell'
  const note = 'Checkpoints take 0.2 to 2 s as expected, and up to a quarter more; half of the tasks can write none.'
  return { reports: [{ title, note, columns, rows }], plots: [] }
}

function createRow (preempts: 'checkpoint' | 'stop', options: ScenarioOptions): string[] {
  const runs = options.seeds.map(seed => {
    const random = new SeededRandom(seed)
    return Array.from({ length: GANGS_PER_SEED }, () => startGang(preempts, random))
  })
  const started = runs.map(run => 100 * run.filter(start => start.duration !== null).length / run.length)
  const times = runs.map(run => run.flatMap(start => start.duration === null ? [] : [start.duration]))
  const steps = runs.map(run => run.reduce((sum, start) => sum + start.stepsByMember, 0) / run.length)
  const quantiles = [0.5, 0.99, 1].map(part => formatSpread(spread(times.map(list => quantile(list, part)))))
  return [preempts, formatSpread(spread(started), 1), ...quantiles, formatSpread(spread(steps), 2)]
}

function startGang (preempts: 'checkpoint' | 'stop', random: Random): GangStart {
  const workers = Array.from({ length: WORKER_COUNT }, (_, index) => createFullWorker(index, random))
  const members = 4 + random.integer(13)
  const plan = planPreemption({ tasks: Array<Resources>(members).fill(MEMBER_RESOURCES), priority: 90, preempts, workers })
  if (plan === null) return { duration: null, stepsByMember: 0 }
  const duration = random.next() * TICK_MS + drawStepTime(plan, workers, random) + MESSAGES_PER_START * MESSAGE_DELAY_MS
  return { duration, stepsByMember: plan.steps.length / members }
}

function createFullWorker (index: number, random: Random): BusyWorker {
  const running: RunningTask[] = Array.from({ length: 8 }, (_, slot) => ({
    id: `${index}-${slot}`,
    priority: 10 + 10 * random.integer(4),
    resources: { slots: 1, cores: 2, memory: 8192, accelerators: 0 },
    speed: 1,
    checkpoints: random.next() < 0.5,
    checkpointTime: 200 + 1800 * random.next(),
    lost: 10_000 * random.next()
  }))
  return { id: `w${index}`, total: WORKER_RESOURCES, free: { slots: 0, cores: 0, memory: 0, accelerators: 0 }, rack: `${index % 5}`, running }
}

function drawStepTime (plan: PreemptionPlan, workers: BusyWorker[], random: Random): number {
  const tasks = new Map(workers.flatMap(worker => worker.running.map(task => [task.id, task])))
  const times = plan.steps.map(step => step.kind === 'checkpoint' ? tasks.get(step.task)!.checkpointTime * (1 + random.next() / 4) : 0)
  return Math.max(0, ...times)
}
