import { describe, test } from 'node:test'
import { expect } from 'earl'
import { BodyBudget } from '../../src/callers/BodyBudget.js'
import type { BodyHolder } from '../../src/callers/BodyBudget.js'
import { BodyBuffer } from '../../src/callers/BodyBuffer.js'

function holder (name: string, dropped: string[], { received = 0, progressAt = 0 } = {}): BodyHolder {
  return { received, startedAt: 0, progressAt, drop: () => { dropped.push(name) } }
}

describe('the budget of bodies', () => {
  // Guards against clients that stop short of the end of their bodies and thereby keep others from sending theirs.
  test('drops the body that has stalled longest, then the slowest, when it is used up', () => {
    const dropped: string[] = []
    const budget = new BodyBudget({ limit: 100, now: () => 2000, onDrop: () => {} })
    const [stalled, slow, fast] = [holder('stalled', dropped, { received: 90 }), holder('slow', dropped, { received: 10, progressAt: 1990 }), holder('fast', dropped, { received: 50, progressAt: 1990 })]
    for (const each of [fast, slow, stalled]) expect(budget.reserve(each, 33)).toEqual(true)
    expect(budget.reserve(fast, 60)).toEqual(true)
    expect(dropped).toEqual(['stalled'])
    expect(budget.reserve(fast, 80)).toEqual(true)
    expect(dropped).toEqual(['stalled', 'slow'])
    expect(budget.used).toEqual(80)
  })

  test('refuses a body while requests that are being handled use all of it', () => {
    const dropped: string[] = []
    const budget = new BodyBudget({ limit: 100, now: () => 0, onDrop: () => {} })
    const unpin = budget.pin(95)
    const body = holder('body', dropped)
    expect(budget.reserve(body, 10)).toEqual(false)
    expect(dropped).toEqual(['body'])
    unpin()
    unpin()
    expect(budget.used).toEqual(0)
    expect(budget.reserve(body, 10)).toEqual(true)
  })
})

describe('the buffer of a body', () => {
  // Guards against an object for each chunk: bytes are joined as they arrive, and no more is reserved than the limit or what was announced.
  test('joins pieces and reserves no more than the limit', () => {
    const reserved: number[] = []
    const buffer = new BodyBuffer({ limit: 3000, expected: undefined, reserve: bytes => reserved.push(bytes) > 0 })
    for (let index = 0; index < 3000; index++) expect(buffer.append(Buffer.from('x'))).toEqual('added')
    expect(buffer.append(Buffer.from('x'))).toEqual('too-large')
    expect(reserved).toEqual([1024, 2048, 3000])
    expect(buffer.take()).toEqual('x'.repeat(3000))
  })

  test('reserves what was announced for a small body', () => {
    const reserved: number[] = []
    const buffer = new BodyBuffer({ limit: 3000, expected: 5, reserve: bytes => reserved.push(bytes) > 0 })
    buffer.append(Buffer.from('he'))
    buffer.append(Buffer.from('llo'))
    expect(reserved).toEqual([5])
    expect(buffer.take()).toEqual('hello')
  })
})
