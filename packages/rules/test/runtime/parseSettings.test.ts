import { readFileSync } from 'node:fs'
import { describe, test } from 'node:test'
import { expect } from 'earl'
import { decodeText, parseSettings } from '../../src/index.js'

const SETTINGS = 'id: n1\ncell: c\ndataCentre: d\nfront: 127.0.0.1:0\npeer: "[::1]:7071"\ncontrol: 127.0.0.1:7070\nplatform: 127.0.0.1:7900\nsecret: 0123456789abcdef\n'

function findings (text: string, secret = ''): string[] {
  const result = parseSettings(text, { file: 'node.yaml', secret })
  return result.isOk() ? [] : result.error.map(({ code, place }) => `${place.line}:${place.column} ${code}`)
}

describe('parseSettings', () => {
  const table: Array<[string, string, string[]]> = [
    ['accepts settings with defaults', SETTINGS, []],
    ['accepts a list of seeds over several lines', SETTINGS + 'seeds:\n  - 127.0.0.1:1\n  - 127.0.0.1:2\n', []],
    ['refuses an unknown key', SETTINGS + 'sed: []\n', ['9:1 unknown-key']],
    ['refuses a key given twice', SETTINGS + 'id: n2\n', ['9:1 duplicate-key']],
    ['refuses a host name', SETTINGS.replace('127.0.0.1:7900', 'localhost:7900'), ['7:11 wrong-value']],
    ['refuses an invalid IP address', SETTINGS.replace('127.0.0.1:7900', '127.0.0.256:7900'), ['7:11 wrong-value']],
    ['refuses a port out of range', SETTINGS.replace(':7900', ':65536'), ['7:11 wrong-value']],
    ['refuses port 0 for an address that the node connects to', SETTINGS.replace(':7900', ':0'), ['7:11 wrong-value']],
    ['refuses a platform address that equals the control address', SETTINGS.replace('7900', '7070'), ['7:11 same-address']],
    ['refuses a bad seed', SETTINGS + 'seeds: [127.0.0.1:1, here]\n', ['9:22 wrong-value']],
    ['refuses a seed outside of a list', SETTINGS + 'seeds: 127.0.0.1:1\n', ['9:8 wrong-value']],
    ['refuses a duration without a unit', SETTINGS + 'drain: 30\n', ['9:8 wrong-unit']],
    ['refuses a missing secret', SETTINGS.replace(/secret.*\n/, ''), ['1:1 missing-key']],
    ['refuses a list', '- 1\n', ['1:1 not-a-map']]
  ]
  for (const [title, text, expected] of table) {
    test(title, () => {
      expect(findings(text)).toEqual(expected)
    })
  }

  test('converts the text to typed values', () => {
    const settings = parseSettings(SETTINGS, { file: 'node.yaml' }).unwrap()
    expect(settings).toEqual({
      id: 'n1',
      cell: 'c',
      dataCentre: 'd',
      front: { host: '127.0.0.1', port: 0 },
      peer: { host: '::1', port: 7071 },
      control: { host: '127.0.0.1', port: 7070 },
      platform: { host: '127.0.0.1', port: 7900 },
      seeds: [],
      secret: '0123456789abcdef',
      log: 'info',
      drain: 30_000
    })
  })

  test('uses the secret from the options if the text has none', () => {
    const settings = parseSettings(SETTINGS.replace(/secret.*\n/, ''), { file: 'node.yaml', secret: 'from-elsewhere-16' }).unwrap()
    expect(settings.secret).toEqual('from-elsewhere-16')
    expect(parseSettings(SETTINGS, { file: 'node.yaml', secret: 'from-elsewhere-16' }).unwrap().secret).toEqual('0123456789abcdef')
  })

  for (const name of ['node', 'node-2', 'node-3']) {
    test(`accepts the example ${name}`, () => {
      const text = readFileSync(new URL(`../../../../../examples/${name}.yaml`, import.meta.url), 'utf8')
      expect(findings(text)).toEqual([])
    })
  }

  test('decodes UTF-8 and refuses other encodings', () => {
    expect(decodeText(Buffer.from('\ufeffé'), { file: 'f' }).unwrap()).toEqual('\ufeffé')
    const broken = decodeText(Buffer.from([0xff, 0xfe]), { file: 'f' })
    expect(broken.isErr() && broken.error[0]!.code).toEqual('binary')
  })
})
