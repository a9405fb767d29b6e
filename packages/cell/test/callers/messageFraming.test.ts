import { describe, test } from 'node:test'
import { expect } from 'earl'
import { MessageFraming } from '../../src/callers/MessageFraming.js'

/** @returns the parts into which the framing cuts the bytes, when they arrive in pieces of the given length */
function cut (text: string, bodyOf: (head: string) => number | undefined | 'none', pieceLength: number): string[] {
  const framing = new MessageFraming()
  const bytes = Buffer.from(text)
  const parts: string[] = []
  let part = ''
  for (let start = 0; start < bytes.length; start += pieceLength) {
    const piece = bytes.subarray(start, start + pieceLength)
    for (let at = 0; at < piece.length;) {
      const isHead = framing.isAtHead
      const { end, isComplete } = framing.advance(piece, at)
      part += piece.toString('latin1', at, end)
      at = end
      if (!isComplete) continue
      const body = isHead ? bodyOf(part) : 'none'
      if (body !== 'none') framing.startBody(body)
      parts.push(part)
      part = ''
    }
  }
  return part === '' ? parts : [...parts, part]
}

// Guards against a parser that is given two requests at once, or waits for bytes that belong to the present one.
describe('the framing of messages', () => {
  const first = 'POST /a HTTP/1.1\r\nContent-Length: 9\r\n\r\n'
  const second = 'POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
  const chunks = '5;x="0"\r\n0\r\n\r\n\r\nA\r\n0123456789\r\n0\r\nTrailer: 0\r\n\r\n'
  const third = 'GET /c HTTP/1.1\r\n\r\n'
  const bodyOf = (head: string): number | undefined | 'none' => head.startsWith('GET') ? 'none' : head.includes('Length') ? 9 : undefined

  for (const pieceLength of [1, 2, 3, 7, 1000]) {
    test(`cuts pipelined requests apart that arrive in pieces of ${pieceLength}`, () => {
      expect(cut(`${first}GET /\r\n\r\n${second}${chunks}${third}\r\n${third}`, bodyOf, pieceLength)).toEqual([first, 'GET /\r\n\r\n', second, chunks, third, `\r\n${third}`])
    })
  }

  test('accepts lines that end without a carriage return', () => {
    expect(cut('GET /a HTTP/1.1\nHost: x\n\nGET /b', () => 'none', 4)).toEqual(['GET /a HTTP/1.1\nHost: x\n\n', 'GET /b'])
  })
})
