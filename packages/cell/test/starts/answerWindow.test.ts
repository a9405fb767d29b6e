import { describe, test } from 'node:test'
import { expect } from 'earl'
import { FakeClock } from '@rattanstep/core'
import { AnswerWindow } from '../../src/starts/AnswerWindow.js'

/** Sends as many orders as the window allows, and has them answered after a time; as often as told. */
function exchange (clock: FakeClock, window: AnswerWindow, { rounds, answerTime, isLimiting = true }: { rounds: number, answerTime: number, isLimiting?: boolean }): void {
  for (let round = 0; round < rounds; round++) {
    const { size } = window
    const sentAt = clock.now()
    if (isLimiting) window.noteLimit()
    clock.tick(answerTime)
    for (let order = 0; order < size; order++) window.noteAnswer(sentAt)
  }
}

function createWindow (): { clock: FakeClock, window: AnswerWindow } {
  const clock = new FakeClock({ start: 1000 })
  return { clock, window: new AnswerWindow({ clock, initial: 16, least: 4, most: 512 }) }
}

describe('the window of orders', () => {
  test('doubles with each answer time until the first congestion, up to its largest size', () => {
    const { clock, window } = createWindow()
    exchange(clock, window, { rounds: 1, answerTime: 5 })
    expect(window.size).toEqual(32)
    exchange(clock, window, { rounds: 10, answerTime: 5 })
    expect(window.size).toEqual(512)
  })

  // Guards against a size that no load has shown to be right, and that is then used at once.
  test('doesn\'t grow while it doesn\'t limit', () => {
    const { clock, window } = createWindow()
    exchange(clock, window, { rounds: 10, answerTime: 5, isLimiting: false })
    expect(window.size).toEqual(16)
  })

  test('shrinks while answers are slow, and grows again by an eighth in each answer time', () => {
    const { clock, window } = createWindow()
    exchange(clock, window, { rounds: 3, answerTime: 5 })
    exchange(clock, window, { rounds: 10, answerTime: 500 })
    const small = window.size
    expect(small).toBeLessThan(16)
    exchange(clock, window, { rounds: 2, answerTime: 5 })
    const start = window.size
    exchange(clock, window, { rounds: 6, answerTime: 5 })
    expect(window.size).toBeGreaterThan(1.5 * start)
    expect(window.size).toBeLessThan(2.1 * start)
  })

  // Guards against the loss of a rack that counts once for each of its tasks.
  test('shrinks once for all orders that were sent before', () => {
    const { clock, window } = createWindow()
    const sentAt = clock.now()
    clock.tick(600)
    for (let order = 0; order < 10; order++) window.noteSilence(sentAt)
    expect(window.size).toEqual(8)
    window.noteSilence(clock.now())
    window.noteSilence(clock.now())
    window.noteSilence(clock.now())
    expect(window.size).toEqual(4)
  })

  // Guards against a long way over busy executors that is taken for congestion.
  test('takes answers for slow only if others were faster lately', () => {
    const { clock, window } = createWindow()
    exchange(clock, window, { rounds: 3, answerTime: 450 })
    expect(window.size).toEqual(128)
  })
})
