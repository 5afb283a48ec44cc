// The mathematical functions that the random distributions need, computed with the four basic operations and
// the square root only. IEEE 754 specifies these to the last bit. It does not specify exp and log, whose
// results differ between C libraries, and even between processors with the same library. Files that include
// this header must be compiled with -ffp-contract=off: fused multiply-adds would also change the results.
#ifndef BURLFALL_LAB_SCRIPT_PORTABLE_MATH_H_
#define BURLFALL_LAB_SCRIPT_PORTABLE_MATH_H_

#include <algorithm>
#include <bit>
#include <cmath>
#include <cstdint>
#include <initializer_list>

namespace burlfall::lab {

namespace portable_internal {
constexpr double kLn2High =
    6.93147180369123816490e-01;  // its low bits are zero, so small multiples are exact
constexpr double kLn2Low = 1.90821492927058770002e-10;

// Horner's method; the coefficients are ordered from the highest power down.
constexpr double Polynomial(double x, std::initializer_list<double> terms) {
  double sum = 0;
  for (double term : terms) sum = sum * x + term;
  return sum;
}
}  // namespace portable_internal

// Natural logarithm of a normal (not subnormal) x > 0, with an error of about one unit in the last place.
inline double Log(double x) {
  const uint64_t bits = std::bit_cast<uint64_t>(x);
  int exponent = static_cast<int>(bits >> 52) - 1023;
  double part = std::bit_cast<double>((bits & ((uint64_t{1} << 52) - 1)) | uint64_t{1023} << 52);
  if (part > 1.4142135623730951) {
    part /= 2;
    ++exponent;
  }
  // log(part) = 2 artanh(s), where |s| is at most 0.172.
  const double s = (part - 1) / (part + 1);
  const double sum = portable_internal::Polynomial(s * s, {1.0 / 21, 1.0 / 19, 1.0 / 17, 1.0 / 15, 1.0 / 13,
                                                           1.0 / 11, 1.0 / 9, 1.0 / 7, 1.0 / 5, 1.0 / 3});
  const double low = 2 * s * (s * s * sum) + exponent * portable_internal::kLn2Low;
  return exponent * portable_internal::kLn2High + (2 * s + low);
}

// Exponential function for |x| <= 700; other arguments are clamped to this range.
inline double Exp(double x) {
  x = std::clamp(x, -700.0, 700.0);
  const double n = std::floor(x * 1.4426950408889634 + 0.5);
  const double r = (x - n * portable_internal::kLn2High) - n * portable_internal::kLn2Low;  // |r| <= 0.347
  const double sum = portable_internal::Polynomial(
      r, {1.0 / 6227020800, 1.0 / 479001600, 1.0 / 39916800, 1.0 / 3628800, 1.0 / 362880, 1.0 / 40320,
          1.0 / 5040, 1.0 / 720, 1.0 / 120, 1.0 / 24, 1.0 / 6, 0.5, 1, 1});
  return sum * std::bit_cast<double>(static_cast<uint64_t>(static_cast<int64_t>(n) + 1023) << 52);
}

// Quantile function of the standard normal distribution, for 0 < p < 1: Wichura's algorithm AS 241 (1988),
// with a relative error of about 1e-16.
inline double NormalQuantile(double p) {
  using portable_internal::Polynomial;
  const double q = p - 0.5;
  if (q >= -0.425 && q <= 0.425) {
    const double r = 0.180625 - q * q;
    return q *
           Polynomial(r, {2.5090809287301226727e3, 3.3430575583588128105e4, 6.7265770927008700853e4,
                          4.5921953931549871457e4, 1.3731693765509461125e4, 1.9715909503065514427e3,
                          1.3314166789178437745e2, 3.3871328727963666080e0}) /
           Polynomial(r, {5.2264952788528545610e3, 2.8729085735721942674e4, 3.9307895800092710610e4,
                          2.1213794301586595867e4, 5.3941960214247511077e3, 6.8718700749205790830e2,
                          4.2313330701600911252e1, 1.0});
  }
  double r = std::sqrt(-Log(q < 0 ? p : 1 - p));
  double x = 0;
  if (r <= 5) {
    r -= 1.6;
    x = Polynomial(r, {7.74545014278341407640e-4, 2.27238449892691845833e-2, 2.41780725177450611770e-1,
                       1.27045825245236838258e0, 3.64784832476320460504e0, 5.76949722146069140550e0,
                       4.63033784615654529590e0, 1.42343711074968357734e0}) /
        Polynomial(r, {1.05075007164441684324e-9, 5.47593808499534494600e-4, 1.51986665636164571966e-2,
                       1.48103976427480074590e-1, 6.89767334985100004550e-1, 1.67638483018380384940e0,
                       2.05319162663775882187e0, 1.0});
  } else {
    r -= 5;
    x = Polynomial(r, {2.01033439929228813265e-7, 2.71155556874348757815e-5, 1.24266094738807843860e-3,
                       2.65321895265761230930e-2, 2.96560571828504891230e-1, 1.78482653991729133580e0,
                       5.46378491116411436990e0, 6.65790464350110377720e0}) /
        Polynomial(r, {2.04426310338993978564e-15, 1.42151175831644588870e-7, 1.84631831751005468180e-5,
                       7.86869131145613259100e-4, 1.48753612908506148525e-2, 1.36929880922735805310e-1,
                       5.99832206555887937690e-1, 1.0});
  }
  return q < 0 ? -x : x;
}

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_SCRIPT_PORTABLE_MATH_H_
