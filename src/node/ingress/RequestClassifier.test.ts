import { expect, test } from 'vitest'
import type { ServiceRule } from '../../parts/configuration/Types.js'
import { RequestClassifier } from './RequestClassifier.js'

const RULE = { guarded: ['* /checkouts', 'GET /tokens'], downloads: ['GET /packs', 'POST /exports'] }
const classifier = new RequestClassifier(RULE as unknown as ServiceRule)

test('a request that no pattern lists is at-most-once unless its method is safe', () => {
  for (const method of ['GET', 'HEAD', 'OPTIONS', 'TRACE']) expect(classifier.classify(method, '/orders')).toBe('lookup')
  for (const method of ['POST', 'PUT', 'PATCH', 'DELETE', 'MKCOL']) {
    expect(classifier.classify(method, '/orders')).toBe('guarded')
  }
})

test('a listed pattern decides for any method', () => {
  expect(classifier.classify('GET', '/tokens/1')).toBe('guarded')
  expect(classifier.classify('GET', '/packs/1')).toBe('download')
  expect(classifier.classify('POST', '/exports')).toBe('download')
})

test('another spelling of a listed path is classified alike', () => {
  const spellings = ['/%63heckouts/7', '//checkouts/7', '/a/../checkouts/7', '/checkouts/7?x=%', '/checkouts/%zz', '/%63heckouts/%']
  for (const target of [...spellings, '/%63heckouts/%ff', 'http://h.example/checkouts/7', 'http://h.example//%63heckouts']) {
    expect([target, classifier.classify('GET', target)]).toEqual([target, 'guarded'])
  }
})
