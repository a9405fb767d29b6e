import { mock, test } from 'node:test'
import { Configuration } from '@rattanstep/configuration'
import { KeyClient, PermitClient } from '@rattanstep/front'
import { Ownership } from '@rattanstep/ownership'
import { Admission } from '@rattanstep/policy'
import { expect } from 'earl'
import { runCase } from '../support/runCase.js'
import type { FaultInjection } from '../support/runCase.js'

/**
 * Each case disables one safeguard and requires the checker to report the violation that the safeguard prevents. This
 * guards against a fault matrix that passes because the checker misses violations.
 */

/** Seeds that are tried until the violation occurs. */
const SEEDS = Array.from({ length: 24 }, (_, number) => 501 + number)

interface RemovedSafeguard {
  title: string
  /** Disables the safeguard. */
  removeSafeguard: () => void
  injection: FaultInjection
  /** Violation that the checker must report. */
  expectedViolation: RegExp
}

const CASES: RemovedSafeguard[] = [
  {
    title: 'a lease that is never checked',
    removeSafeguard: () => {
      mock.method(Ownership.prototype, 'leaseLeft', () => 1000)
    },
    injection: { step: 'message grant', fault: 'sender cut off' },
    expectedViolation: /may both admit work to/
  },
  {
    title: 'a new owner that assumes its workers are empty',
    removeSafeguard: () => {
      const { addWorker } = Admission.prototype
      mock.method(Admission.prototype, 'addWorker', function (this: Admission, ...args: Parameters<typeof addWorker>) {
        addWorker.call(this, args[0], args[1])
      })
    },
    injection: { step: 'message permits-request', fault: 'receiver pauses' },
    expectedViolation: /slots of work/
  },
  {
    title: 'capacity of abandoned work that is reused immediately',
    removeSafeguard: () => {
      const { release } = Admission.prototype
      mock.method(Admission.prototype, 'release', function (this: Admission, ...[released, front, now]: Parameters<typeof release>) {
        return release.call(this, { ...released, ending: 'completed' }, front, now)
      })
    },
    injection: { step: 'dispatch', fault: 'worker mute' },
    expectedViolation: /slots of work/
  },
  {
    title: 'grants that are used regardless of their age',
    removeSafeguard: () => {
      const { acquire } = PermitClient.prototype
      mock.method(PermitClient.prototype, 'acquire', async function (this: PermitClient, ...args: Parameters<typeof acquire>) {
        return (await acquire.apply(this, args)).map(placement => ({ ...placement, validUntil: Infinity }))
      })
    },
    injection: { step: 'message ask', fault: 'sender pauses' },
    expectedViolation: /slots of work|listed as leaving/
  },
  {
    title: 'a front that runs requests whose keys their home node may have forgotten',
    removeSafeguard: () => {
      const { claim } = KeyClient.prototype
      mock.method(KeyClient.prototype, 'claim', async function (this: KeyClient, ...args: Parameters<typeof claim>) {
        return (await claim.apply(this, args)).map(answer => answer.verdict === 'forgotten' ? { ...answer, verdict: 'first' as const } : answer)
      })
    },
    injection: { step: 'message key-claim', fault: 'receiver dies' },
    expectedViolation: /ran at/
  },
  {
    title: 'rules that may revert to an older version',
    removeSafeguard: () => {
      mock.method(Configuration.prototype, 'handlePeerVersion', () => {})
      let reads = 0
      mock.getter(Configuration.prototype, 'version', () => reads++ % 3)
    },
    injection: { step: 'message heartbeat', fault: 'message lost' },
    expectedViolation: /went back|follows rules/
  },
  {
    title: 'leaving workers that are not drained',
    removeSafeguard: () => {
      mock.method(Admission.prototype, 'drainWorker', () => {})
    },
    injection: { step: 'message heartbeat', fault: 'message lost' },
    expectedViolation: /listed as leaving/
  }
]

for (const { title, removeSafeguard, injection, expectedViolation } of CASES) {
  test(`the checker detects ${title}`, async () => {
    removeSafeguard()
    try {
      const seen: string[] = []
      for (const seed of SEEDS) {
        const { violations } = await runCase({ injections: [injection], seed })
        seen.push(...violations)
        if (violations.some(text => expectedViolation.test(text))) break
      }
      expect(seen.some(text => expectedViolation.test(text))).toEqual(true)
    } finally {
      mock.restoreAll()
    }
  })
}
