import type { CallTuple, ExecuteMessage, WorkerCall } from '../types/execution.js'
import type { WorkerTarget } from '../types/worker.js'

/** A call to a worker with the number under which its result is returned. */
export interface NumberedCall {
  call: number
  order: WorkerCall
}

/**
 * Encodes the calls that a decider sends over one link. Orders and polls are most of what a decider sends, so a worker is described only once on a
 * link, and the text of a job once in a message.
 */
export class WorkerCallEncoder {
  private readonly told = new Map<string, { number: number, target: WorkerTarget, generation: number }>()
  private nextNumber = 0

  /**
   * @param fence - fencing token of the term
   * @param calls - the calls
   * @returns the message
   */
  encode (fence: number, calls: NumberedCall[]): ExecuteMessage {
    const workers: ExecuteMessage['workers'] = []
    const texts = new Map<string, number>()
    const tuples = calls.map(({ call, order }) => encodeCall(call, this.numberOf(order.worker, order.order.fence - fence, workers), order, texts))
    return { kind: 'execute', fence, workers, texts: [...texts.keys()], calls: tuples }
  }

  private numberOf (worker: WorkerTarget, generation: number, added: ExecuteMessage['workers']): number {
    const known = this.told.get(worker.id)
    if (known !== undefined && known.target.address === worker.address && known.target.born === worker.born && known.target.dataCentre === worker.dataCentre && known.generation === generation) return known.number
    // A worker that has changed gets a new number, since earlier calls of the same message refer to its former address.
    const number = this.nextNumber++
    const { id, address, born, dataCentre } = worker
    const target = { id, address, born, dataCentre }
    this.told.set(id, { number, target, generation })
    added.push([number, target, generation])
    return number
  }
}

function encodeCall (call: number, worker: number, { kind, order }: WorkerCall, texts: Map<string, number>): CallTuple {
  switch (kind) {
    case 'poll': return ['poll', call, worker, order.acknowledged, order.leaseEnd ?? null, order.wait]
    case 'stop': return ['stop', call, worker, order.task, order.run]
    case 'start': {
      const text = texts.get(order.spec) ?? texts.size
      texts.set(order.spec, text)
      return ['start', call, worker, order.task, order.run, text, order.leaseEnd, order.checkpoint, order.ticket ?? null]
    }
  }
}

/** Decodes the calls of one link from a decider. */
export class WorkerCallDecoder {
  private readonly workers = new Map<number, { worker: WorkerTarget, generation: number }>()

  /**
   * @param message - the message
   * @returns the calls
   */
  decode ({ fence, workers, texts, calls }: ExecuteMessage): NumberedCall[] {
    // Nodes of an earlier version send no generation.
    for (const [number, worker, generation = 0] of workers) this.workers.set(number, { worker, generation })
    return calls.map(tuple => {
      const { worker, generation } = this.workers.get(tuple[2])!
      return { call: tuple[1], order: decodeCall(tuple, { worker, fence: fence + generation, texts }) }
    })
  }
}

function decodeCall (tuple: CallTuple, { worker, fence, texts }: { worker: WorkerTarget, fence: number, texts: string[] }): WorkerCall {
  switch (tuple[0]) {
    case 'poll': {
      const [, , , acknowledged, leaseEnd, wait] = tuple
      return { kind: 'poll', worker, order: { fence, acknowledged, wait, ...(leaseEnd === null ? {} : { leaseEnd }) } }
    }
    case 'stop': return { kind: 'stop', worker, order: { task: tuple[3], run: tuple[4], fence } }
    case 'start': {
      const [, , , task, run, text, leaseEnd, checkpoint, ticket] = tuple
      return { kind: 'start', worker, order: { task, run, spec: texts[text]!, leaseEnd, fence, checkpoint, ...(ticket === null ? {} : { ticket }) } }
    }
  }
}
