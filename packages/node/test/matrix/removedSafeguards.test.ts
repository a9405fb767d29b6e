import { mock, test } from 'node:test'
import { Configuration } from '@rattanstep/configuration'
import { HomeKeys, OwnerPermits } from '@rattanstep/front'
import { Ownership } from '@rattanstep/ownership'
import { Admission } from '@rattanstep/policy'
import { expect } from 'earl'
import { runCase } from '../support/runCase.js'
import type { FaultInjection } from '../support/runCase.js'

/** Seeds tried until a breach shows. */
const SEEDS = Array.from({ length: 24 }, (_, number) => 501 + number)

interface RemovedSafeguard {
  title: string
  /** Takes a safeguard away. */
  removeSafeguard: () => void
  injection: FaultInjection
  /** What the witness must see. */
  expectedViolation: RegExp
}

const CASES: RemovedSafeguard[] = [
  {
    title: 'a lease that is never looked at',
    removeSafeguard: () => {
      mock.method(Ownership.prototype, 'leaseLeft', () => 1000)
    },
    injection: { step: 'message grant', fault: 'sender cut off' },
    expectedViolation: /both may fill/
  },
  {
    title: 'a new owner that counts nothing as used',
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
    title: 'room of abandoned work given away at once',
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
    title: 'grants used however old they are',
    removeSafeguard: () => {
      const { acquire } = OwnerPermits.prototype
      mock.method(OwnerPermits.prototype, 'acquire', async function (this: OwnerPermits, ...args: Parameters<typeof acquire>) {
        return (await acquire.apply(this, args)).map(placement => ({ ...placement, validUntil: Infinity }))
      })
    },
    injection: { step: 'message ask', fault: 'sender pauses' },
    expectedViolation: /slots of work|listed as leaving/
  },
  {
    title: 'a front that runs keys which their home cannot know',
    removeSafeguard: () => {
      const { claim } = HomeKeys.prototype
      mock.method(HomeKeys.prototype, 'claim', async function (this: HomeKeys, ...args: Parameters<typeof claim>) {
        return (await claim.apply(this, args)).map(answer => answer.verdict === 'forgotten' ? { ...answer, verdict: 'first' as const } : answer)
      })
    },
    injection: { step: 'message key-claim', fault: 'receiver dies' },
    expectedViolation: /ran at/
  },
  {
    title: 'rules that may go back',
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
  test(`the witness sees ${title}`, async () => {
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
