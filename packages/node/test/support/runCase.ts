import type { Delivery } from '@rattanstep/stand-ins'
import type { FaultName, Step } from './matrixTable.js'
import type { Process } from './Process.js'
import { Scenario } from './Scenario.js'
import type { CaseResult } from './Scenario.js'
import { injectFault } from './injectFault.js'
import type { FaultTarget } from './injectFault.js'

/** One fault at one step. */
export interface FaultInjection {
  step: Step
  fault: FaultName
}

/** One case of the matrix: the faults to inject and the seed. */
export interface MatrixCase {
  injections: FaultInjection[]
  seed: number
}

/** Result of a case, with the number of faults that were injected because their step was reached. */
export type MatrixResult = CaseResult & { injectedCount: number }

const UNCHANGED: Delivery = { copies: 1, extraDelay: 0 }

/**
 * A fault is injected at a random one of the first N occurrences of its step. This table holds N for steps that occur
 * rarely; `DEFAULT_OCCURRENCES` applies to the others.
 */
const OCCURRENCES_BY_STEP: Partial<Record<Step, number>> = {
  'message rules': 1,
  'message fetch': 1,
  'message vote-request': 1,
  'message vote': 1,
  'message key-transfer': 1,
  'message permits-request': 2,
  'message refuse': 4,
  'call commit rules': 2,
  'call commit assignment': 2,
  'call commit job': 2,
  'call commit task': 3,
  'call start task': 3,
  'call renew task': 3,
  'call stop task': 1
}

const DEFAULT_OCCURRENCES = 8

/** Maximum deviation of a clock rate from 1. */
const MAX_DRIFT = 0.01

/**
 * Runs the whole workload of a cell and injects each fault once, at a random occurrence of its step.
 *
 * @param options - faults and seed
 * @returns violations and counts
 */
export async function runCase (options: MatrixCase): Promise<MatrixResult> {
  const scenario = new Scenario({ seed: options.seed, drift: MAX_DRIFT })
  const { cluster } = scenario
  const { environment } = cluster
  const pending = new Map(options.injections.map(injection => [injection, 1 + cluster.random.integer(OCCURRENCES_BY_STEP[injection.step] ?? DEFAULT_OCCURRENCES)]))
  let isWorking = false
  const injectAt = (step: Step, target: FaultTarget): Delivery => {
    if (!isWorking) return UNCHANGED
    for (const [injection, left] of pending) {
      if (injection.step !== step) continue
      pending.set(injection, left - 1)
      if (left > 1) continue
      pending.delete(injection)
      return injectFault(cluster, injection.fault, target)
    }
    return UNCHANGED
  }
  const findProcess = (incarnation: string): Process => cluster.processes.find(process => process.incarnation === incarnation)!
  environment.wire.intercept = (from, to, message) => injectAt(`message ${message.kind}`, { sender: findProcess(from), receiver: findProcess(to), worker: null })
  environment.onCall = (sender, call, worker) => { injectAt(`call ${call}`, { sender, receiver: null, worker }) }
  const { onDispatch } = environment
  environment.onDispatch = (sender, worker) => {
    onDispatch(sender, worker)
    injectAt('dispatch', { sender, receiver: null, worker: environment.workers.get(worker)! })
  }
  await scenario.start()
  isWorking = true
  for (const { step } of options.injections) triggerStep(scenario, step)
  await scenario.runWorkload()
  isWorking = false
  const result = await scenario.recoverAndCheck()
  return { ...result, injectedCount: options.injections.length - pending.size }
}

/** Causes the situation in which a rare step occurs. */
function triggerStep (scenario: Scenario, step: Step): void {
  const { cluster } = scenario
  if (step === 'message vote-request' || step === 'message vote') {
    injectFault(cluster, 'sender dies', { sender: cluster.random.pick(cluster.openProcesses()), receiver: null, worker: null })
  }
  if (step === 'message refuse') scenario.sendBurst()
  if (step === 'message rules' || step === 'message fetch') scenario.changeRulesOften()
}
