import { test } from 'node:test'
import { expect } from 'earl'
import type { ResolvedClass } from '@rattanstep/rules'
import { ProbeTimes } from '../../src/runtime/ProbeTimes.js'

const WORK: ResolvedClass = {
  name: 'quick',
  kind: 'request',
  priority: 50,
  reserve: 0,
  most: 1,
  patience: 1000,
  bound: 30_000,
  weight: 1,
  ageing: 0,
  expected: 25,
  retries: 0.1,
  preempts: 'nothing',
  askedBy: 'test',
  line: 1
}

const CASES: Array<{ title: string, retry: boolean, expected?: number, slow?: number, bound?: number, probe: number }> = [
  { title: 'the last attempt is abandoned only at its bound', retry: false, probe: 30_000 },
  { title: 'the first attempt is abandoned after the shortest probe time', retry: true, probe: 1000 },
  { title: 'a class with a longer expected run time has a longer probe time', retry: true, expected: 400, probe: 4000 },
  { title: 'a slow run lengthens the next probe time', retry: true, slow: 1500, probe: 3000 },
  { title: 'the probe time never exceeds the bound', retry: true, slow: 9000, bound: 5000, probe: 5000 }
]

for (const { title, retry, expected = 25, slow, bound = 30_000, probe } of CASES) {
  test(title, () => {
    const probes = new ProbeTimes()
    if (slow !== undefined) probes.observe('quick', slow)
    expect(probes.timeFor({ requestClass: { ...WORK, expected }, bound, willRetry: retry })).toEqual(probe)
  })
}
