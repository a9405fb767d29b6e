import { Err, Ok } from 'ts-results-es'
import type { Result } from 'ts-results-es'
import type { WorkerCall, WorkerCallResult } from '../types/execution.js'
import type { PollFault, WorkerClient } from '../types/ports.js'
import type { WorkerList } from '../types/worker.js'

/**
 * Makes a call to a worker on behalf of the decider.
 *
 * @param workers - this node's client
 * @param call - the call
 * @returns the result, in the form in which it is sent to the decider
 */
export async function executeWorkerCall (workers: WorkerClient, call: WorkerCall): Promise<WorkerCallResult> {
  switch (call.kind) {
    case 'start': return { kind: 'outcome', outcome: await workers.start(call.worker, call.order) }
    case 'stop': return { kind: 'outcome', outcome: await workers.stop(call.worker, call.order) }
    case 'poll': return encodePollResult(await workers.poll(call.worker, call.order))
  }
}

/** @returns the result of a poll, as the decider's worker client returns it */
export function decodePollResult (result: WorkerCallResult): Result<WorkerList, PollFault> {
  if (result.kind === 'fault') return Err(result.fault)
  if (result.kind === 'outcome') return Err({ code: 'silent', reason: 'the executor answered a poll with the outcome of an order' })
  return Ok({
    clock: result.clock,
    born: result.born,
    running: result.running.map(([task, run, checkpoint, percent]) => ({ task, run, checkpoint, percent })),
    ended: result.ended.map(([number, task, run, ending, checkpoint]) => ({ number, task, run, ending, checkpoint }))
  })
}

function encodePollResult (result: Result<WorkerList, PollFault>): WorkerCallResult {
  if (result.isErr()) return { kind: 'fault', fault: result.error }
  const { clock, born, running, ended } = result.value
  return {
    kind: 'list',
    clock,
    born,
    running: running.map(({ task, run, checkpoint, percent }) => [task, run, checkpoint, percent]),
    ended: ended.map(({ number, task, run, ending, checkpoint }) => [number, task, run, ending, checkpoint])
  }
}
