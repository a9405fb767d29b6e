import { mock, test } from 'node:test'
import { Configuration } from '@rattanstep/configuration'
import { KeyClient, PermitClient } from '@rattanstep/front'
import { Ownership } from '@rattanstep/ownership'
import { Admission } from '@rattanstep/policy'
import { expect } from 'earl'
import { runCase } from '../support/runCase.js'
import type { Blow } from '../support/runCase.js'

/** Seeds tried until a breach shows. */
const SEEDS = Array.from({ length: 24 }, (_, number) => 501 + number)

interface Sabotage {
  title: string
  /** Takes a safeguard away. */
  apply: () => void
  blow: Blow
  /** What the witness must see. */
  breach: RegExp
}

const CASES: Sabotage[] = [
  {
    title: 'a lease that is never looked at',
    apply: () => {
      mock.method(Ownership.prototype, 'leaseLeft', () => 1000)
    },
    blow: { step: 'message grant', fault: 'sender cut off' },
    breach: /both may fill/
  },
  {
    title: 'a new owner that counts nothing as used',
    apply: () => {
      const { addWorker } = Admission.prototype
      mock.method(Admission.prototype, 'addWorker', function (this: Admission, ...args: Parameters<typeof addWorker>) {
        addWorker.call(this, args[0], args[1])
      })
    },
    blow: { step: 'message permits-request', fault: 'receiver pauses' },
    breach: /slots of work/
  },
  {
    title: 'room of abandoned work given away at once',
    apply: () => {
      const { release } = Admission.prototype
      mock.method(Admission.prototype, 'release', function (this: Admission, ...[given, front, now]: Parameters<typeof release>) {
        return release.call(this, { ...given, ending: 'completed' }, front, now)
      })
    },
    blow: { step: 'dispatch', fault: 'worker mute' },
    breach: /slots of work/
  },
  {
    title: 'grants used however old they are',
    apply: () => {
      const { acquire } = PermitClient.prototype
      mock.method(PermitClient.prototype, 'acquire', async function (this: PermitClient, ...args: Parameters<typeof acquire>) {
        return (await acquire.apply(this, args)).map(placement => ({ ...placement, validUntil: Infinity }))
      })
    },
    blow: { step: 'message ask', fault: 'sender pauses' },
    breach: /slots of work|listed as leaving/
  },
  {
    title: 'a front that runs keys which their home cannot know',
    apply: () => {
      const { claim } = KeyClient.prototype
      mock.method(KeyClient.prototype, 'claim', async function (this: KeyClient, ...args: Parameters<typeof claim>) {
        return (await claim.apply(this, args)).map(answer => answer.verdict === 'forgotten' ? { ...answer, verdict: 'first' as const } : answer)
      })
    },
    blow: { step: 'message key-claim', fault: 'receiver dies' },
    breach: /ran at/
  },
  {
    title: 'rules that may go back',
    apply: () => {
      mock.method(Configuration.prototype, 'handlePeerVersion', () => {})
      let looks = 0
      mock.getter(Configuration.prototype, 'version', () => looks++ % 3)
    },
    blow: { step: 'message heartbeat', fault: 'message lost' },
    breach: /went back|follows rules/
  },
  {
    title: 'leaving workers that are not drained',
    apply: () => {
      mock.method(Admission.prototype, 'drainWorker', () => {})
    },
    blow: { step: 'message heartbeat', fault: 'message lost' },
    breach: /listed as leaving/
  }
]

for (const { title, apply, blow, breach } of CASES) {
  test(`the witness sees ${title}`, async () => {
    apply()
    try {
      const seen: string[] = []
      for (const seed of SEEDS) {
        const { breaches } = await runCase({ blows: [blow], seed })
        seen.push(...breaches)
        if (breaches.some(text => breach.test(text))) break
      }
      expect(seen.some(text => breach.test(text))).toEqual(true)
    } finally {
      mock.restoreAll()
    }
  })
}
