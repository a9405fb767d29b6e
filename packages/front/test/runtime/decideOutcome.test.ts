import { test } from 'node:test'
import { expect } from 'earl'
import { decideOutcome, refusalOutcome } from '../../src/runtime/decideOutcome.js'
import type { RunFault } from '../../src/index.js'

/**
 * The expected decision for each fault, as `outcome status action ending`, in three situations: no byte was sent; bytes may
 * have been sent and the request must run at most once; bytes may have been sent and the request may be repeated.
 */
const TABLE: Record<RunFault, [unsent: string, once: string, repeatable: string]> = {
  refused: ['not-run 503 retry failed', 'unknown 502 answer abandoned', 'unknown 502 retry abandoned'],
  'no-connection': ['not-run 503 retry unsent', 'unknown 502 answer abandoned', 'unknown 502 retry abandoned'],
  'stale-permit': ['not-run 503 retry unsent', 'unknown 502 answer abandoned', 'unknown 502 retry abandoned'],
  unsendable: ['not-run 400 answer unsent', 'unknown 502 answer cancelled', 'unknown 502 answer cancelled'],
  reset: ['not-run 503 retry failed', 'unknown 502 answer abandoned', 'unknown 502 retry abandoned'],
  garbage: ['not-run 503 retry failed', 'unknown 502 answer abandoned', 'unknown 502 retry abandoned'],
  silent: ['not-run 503 retry failed', 'unknown 504 answer abandoned', 'unknown 504 retry abandoned'],
  bound: ['not-run 503 answer unsent', 'unknown 504 answer abandoned', 'unknown 504 answer abandoned'],
  deadline: ['not-run 503 answer unsent', 'unknown 504 answer cancelled', 'unknown 504 answer cancelled'],
  body: ['not-run 400 answer unsent', 'unknown 502 answer cancelled', 'unknown 502 answer cancelled'],
  'caller-gone': ['not-run 503 drop unsent', 'unknown 502 drop cancelled', 'unknown 502 drop cancelled'],
  'caller-slow': ['not-run 408 answer unsent', 'unknown 502 answer cancelled', 'unknown 502 answer cancelled']
}

function decide (step: 'dispatching' | 'sending' | 'answering', fault: RunFault, repeatable: boolean, sentBefore = false): string {
  const { outcome, status, action, ending } = decideOutcome({ step, fault, repeatable, sentBefore })
  return `${outcome} ${status} ${action} ${ending}`
}

for (const [name, [unsent, once, repeatable]] of Object.entries(TABLE)) {
  const fault = name as RunFault
  test(`${fault}: ${unsent}; ${once}; ${repeatable}`, () => {
    for (const may of [true, false]) expect(decide('dispatching', fault, may)).toEqual(unsent)
    expect(decide('sending', fault, false)).toEqual(once)
    expect(decide('sending', fault, true)).toEqual(repeatable)
  })

  test(`${fault}: an answer that has begun is cut, and the outcome is never not-run once bytes may have been sent`, () => {
    for (const may of [true, false]) {
      expect(decide('answering', fault, may)).toMatchRegex(/^run 502 cut (abandoned|cancelled)$/)
      for (const step of ['dispatching', 'sending', 'answering'] as const) {
        expect(decide(step, fault, may, true)).not.toMatchRegex(/^not-run/)
      }
    }
  })
}

test('a refused permit gives the outcome not-run only when nothing was sent before', () => {
  expect([refusalOutcome(false), refusalOutcome(true)]).toEqual(['not-run', 'unknown'])
})
