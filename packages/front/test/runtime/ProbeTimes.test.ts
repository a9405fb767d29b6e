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
  { title: 'a last attempt is waited for until its bound', retry: false, probe: 30_000 },
  { title: 'a first attempt is given up after the least time', retry: true, probe: 1000 },
  { title: 'a class that expects long runs waits longer', retry: true, expected: 400, probe: 4000 },
  { title: 'a slow run makes the next wait longer', retry: true, slow: 1500, probe: 3000 },
  { title: 'no wait is longer than the bound', retry: true, slow: 9000, bound: 5000, probe: 5000 }
]

for (const { title, retry, expected = 25, slow, bound = 30_000, probe } of CASES) {
  test(title, () => {
    const probes = new ProbeTimes()
    if (slow !== undefined) probes.observe('quick', slow)
    expect(probes.timeFor({ requestClass: { ...WORK, expected }, bound, willRetry: retry })).toEqual(probe)
  })
}
